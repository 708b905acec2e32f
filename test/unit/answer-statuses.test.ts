/**
Statuses that no final answer has, on the way from a target to a caller: they are no answer,
so the caller gets 502, which promises nothing.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ScriptedDeployment} from '../standins/scripted-deployment.js';

/** Below 200 no answer is final, from 600 on no class is defined, and others have not three digits. */
const statuses = ['000', '001', '099', '101', '199', '600', '999', '2000', '20', '-1', 'abc'];
const CLOSES_AFTER_MS = 50;

for (const headers of [[], ['X-Pollenarch-Not-Executed: 1']]) {
	// Guards against an answer of a target in trouble whose status is none, and which the caller gets as an answer (MIXED), or takes for a promise.
	test(`an answer with a status that no final answer has does not reach the caller${headers.length > 0 ? ', and states nothing' : ''}`, async t => {
		let status = '';
		const deployment = await ScriptedDeployment.start({
			script(socket, {id}) {
				socket.write([`HTTP/1.1 ${status} Status`, `X-Pollenarch-Request-Id: ${id}`, 'X-Pollenarch-Server-Signature: signed', ...headers, 'Content-Length: 5', '', 'wrong'].join('\r\n'));
				setTimeout(() => {
					socket.end();
				}, CLOSES_AFTER_MS);
			},
		});
		t.after(async () => deployment.stop());
		const got: string[] = [];
		for (status of statuses) {
			for (const path of ['/sign/1', '/ask/1']) {
				const caller = deployment.connect();
				caller.send(path, `${path.slice(1, 4)}${status}`);
				await caller.waitFor('\r\n\r\n');
				got.push(`${status} ${path}: ${caller.text.slice(9, 12)}`);
				caller.socket.destroy();
			}
		}

		assert.deepEqual(got, statuses.flatMap(text => [`${text} /sign/1: 502`, `${text} /ask/1: 502`]));
	});
}
