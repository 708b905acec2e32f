/**
`npm run golden`: regenerates the recordings of the golden sessions.
*/
import {writeFileSync} from 'node:fs';
import {recordSession, sessions} from './sessions.js';

for (const name of Object.keys(sessions)) {
	writeFileSync(new URL(`${name}.jsonl`, import.meta.url), recordSession(name));
}
