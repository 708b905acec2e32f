/**
Requests that a stop cuts off, or that end with a process that is killed in its stop, are
named in the logs of other instances, over real sockets between processes.
*/
import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {PlatformBundle} from '../standins/platform-process.js';
import {SocketCaller} from '../standins/socket-caller.js';
import {GRACE_MS, StoppingProcess, type LogLine} from '../standins/stopping-process.js';

const PEERS = ['edge-funka-bay-1', 'edge-funka-bay-2'];
const STOPPING = 'edge-okhotsk-coast-2';
const REQUEST_ID = '4f0c2a5e-skipper-query';
/** Records show this much of a line. */
const SHOWN_BYTES = 200;
const POLL_INTERVAL_MS = 25;
/** Longer than the grace period, and than a peer waits for one that is silent. */
const POLLS_MAX = (GRACE_MS + 4000) / POLL_INTERVAL_MS;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

async function start(t: TestContext): Promise<StoppingProcess> {
	const stopping = await StoppingProcess.start(bundle, {instanceId: STOPPING, peerIds: PEERS});
	t.after(async () => {
		await stopping.close();
	});
	return stopping;
}

async function linesOfPeers(stopping: StoppingProcess): Promise<readonly LogLine[]> {
	const lines = (): LogLine[][] => PEERS.map(id => stopping.peerLines.get(id)!.filter(({requestId}) => requestId === REQUEST_ID));
	for (let polls = 0; polls < POLLS_MAX && lines().some(({length}) => length === 0); polls++) {
		await delay(POLL_INTERVAL_MS);
	}

	await delay(200);
	const found = lines();
	assert.deepEqual(found.map(({length}) => length), PEERS.map(() => 1), JSON.stringify(found));
	return found.flat();
}

// Guards against ends of requests at a stop (LOST) that are told only in a log that records do not reach.
test('the logs of peers name a request that a stop cuts off, its reason and its tries in the first bytes of one line', async t => {
	const stopping = await start(t);
	const socket = await stopping.beginStream(REQUEST_ID);
	stopping.process.kill('SIGTERM');
	for (const line of await linesOfPeers(stopping)) {
		assert.match(JSON.stringify(line).slice(0, SHOWN_BYTES), /"level":40.*"requestId":"4f0c2a5e-skipper-query","reason":"instance-stopped","by":"okhotsk-coast-2","tries":"i-\d:canceled"/v);
		assert.equal(line.instanceId, STOPPING);
		assert.equal(line.closedBy, 'instance');
	}

	socket.destroy();
});

// Guards against requests that end with a killed process and that nothing outside of its own log names.
test('the logs of peers name a request that was open when its instance was killed in its stop', async t => {
	const stopping = await start(t);
	const socket = await stopping.beginStream(REQUEST_ID);
	stopping.process.kill('SIGTERM');
	await delay(GRACE_MS / 4);
	stopping.process.kill('SIGKILL');
	for (const line of await linesOfPeers(stopping)) {
		assert.match(JSON.stringify(line).slice(0, SHOWN_BYTES), /"level":40.*"requestId":"4f0c2a5e-skipper-query","reason":"instance-lost","by":"okhotsk-coast-2","tries":"i-\d:open"/v);
	}

	socket.destroy();
});

// Guards against ends at a stop that only the log of the instance that stops tells of, since its last word goes out before its listener closes.
test('the logs of peers name an answer whose arrival nothing shows when the grace ends', async t => {
	const stopping = await StoppingProcess.start(bundle, {instanceId: 'a-1', peerIds: ['a-2']});
	t.after(async () => {
		await stopping.close();
	});
	await delay(1500);
	// The stream ends less than the linger time before the end of the grace, and its caller keeps its side open.
	const caller = new SocketCaller(stopping.callersPort).send({path: '/ask/7500', id: 'kept-open'});
	await delay(400);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	await stopping.exit(signalledAtMs);
	await stopping.waitForPeerLines('kept-open');
	assert.equal(caller.answers, 1);
	for (const lines of [stopping.lines, stopping.peerLines.get('a-2')!]) {
		assert.deepEqual(lines.filter(({requestId, reason}) => requestId === 'kept-open' && reason !== undefined).map(({reason}) => reason), ['answer-unconfirmed']);
	}
});
