/**
What a process that was held up concludes from its probes of targets.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {callTimes} from './call-times.js';
import {TargetConnections} from './target-connections.js';

function holdUp(ms: number): void {
	const endsAtMs = performance.now() + ms;
	while (performance.now() < endsAtMs) {
		// Busy.
	}
}

// Guards against sound targets that a late process takes for unreached, and names to its zone: the connection was accepted, and its timer was handled first.
test('a target that accepts the connection of a probe counts as reached though the process was held up meanwhile', {timeout: 10_000}, async t => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	const connections = new TargetConnections();
	const outcome = connections.probe(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	await new Promise<void>(resolve => {
		process.nextTick(resolve);
	});
	holdUp(callTimes.targetRequest.connectMs + 200);
	assert.equal(await outcome, 'accepted');
	await connections.close();
});
