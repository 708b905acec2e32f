/**
Every request that a daemon has read ends for its caller: with the whole answer, with a
refusal, or with a connection that is closed before an answer looks complete.
*/
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
	chunk, responseHead, ScriptedDeployment, type Script,
} from '../standins/scripted-deployment.js';

async function start(t: TestContext, script: Script): Promise<ScriptedDeployment> {
	const deployment = await ScriptedDeployment.start({script});
	t.after(async () => deployment.stop());
	return deployment;
}

const brokenFirstEvents: Readonly<Record<string, Script>> = {
	'an answer that ends in the middle of it'(socket, {id}) {
		socket.end(`${responseHead(id, 'Transfer-Encoding: chunked')}${chunk('id: 1\nda')}0\r\n\r\n`);
	},
	'a reset of an answer without length'(socket, {id}) {
		socket.write(`${responseHead(id, 'Connection: close')}id: 1\nda`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	},
};

for (const [failure, script] of Object.entries(brokenFirstEvents)) {
	// Guards against a response head that is taken for sent before the first event: the refusal could then not be written, and the caller got nothing.
	test(`a stream whose first event is cut off at every target, by ${failure}, is refused with 502`, async t => {
		const deployment = await start(t, script);
		const caller = deployment.connect();
		caller.send('/ask/1', 'a1');
		await caller.waitFor('\r\n\r\n');
		assert.match(caller.text, /^HTTP\/1\.1 502 /v);
		assert.equal(deployment.received, 2);
	});
}
