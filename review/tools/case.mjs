/* eslint-disable no-await-in-loop, no-void -- the steps of a play follow each other, and some go on beside them */
/**
Runs a case: `play` returns the breaks of the rule that were seen, one text each. The exit
code is 1 if there are any, 0 if there are none, and 2 if the case could not be played.
*/
import path from 'node:path';
import process from 'node:process';
import {Record} from './record.mjs';

export const isTrouble = process.env.TROUBLE !== '0';

export async function runCase(folder, play) {
	const record = new Record(path.join(folder, 'record.txt'));
	const closers = [];
	const end = async () => {
		for (const close of closers.splice(0)) {
			await close();
		}

		record.save();
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			process.exitCode = 2;
			void end();
		});
	}

	try {
		const breaks = await play({
			record,
			onEnd(close) {
				closers.unshift(close);
			},
		});
		for (const text of breaks) {
			record.add('rule-broken', {text});
		}

		process.stdout.write(breaks.length === 0 ? 'the rule held\n' : `the rule was broken ${breaks.length} times\n${breaks.slice(0, 10).join('\n')}\n`);
		process.exitCode = breaks.length === 0 ? 0 : 1;
	} catch (error) {
		record.add('not-played', {error: error.stack});
		process.stderr.write(`${error.stack}\n`);
		process.exitCode = 2;
	}

	await end();
}
