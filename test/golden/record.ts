/**
`npm run golden`: writes the golden sessions anew.
*/
import {writeFileSync} from 'node:fs';
import {recordSession, sessions} from './sessions.js';

for (const name of Object.keys(sessions)) {
	writeFileSync(new URL(`${name}.jsonl`, import.meta.url), recordSession(name));
}
