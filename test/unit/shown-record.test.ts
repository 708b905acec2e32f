/**
A record of a case that is cut as the users cut theirs still tells how a request ended at the
instance that is last by name, while the instances before it have more to show than fits.
*/
import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {Agent} from 'node:http';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {showRecord} from '../soak/shown-record.js';
import {PlatformBundle} from '../standins/platform-process.js';
import {GRACE_MS, StoppingProcess} from '../standins/stopping-process.js';

const PEERS = ['edge-funka-bay-1', 'edge-funka-bay-2'];
const STOPPING = 'edge-okhotsk-coast-2';
const REQUEST_ID = '4f0c2a5e-skipper-query';
/** Instances before the one that is last by name, and what each of them has to show, which is more than fits. */
const CROWDED = 7;
const CHANGES = 8;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

/** The logs of the fleet, with instances between the peers and the stopping one that have warnings of their own. */
function logsOf(stopping: StoppingProcess): Map<string, string[]> {
	const crowded = Array.from({length: CROWDED}, (_, index) => [
		`edge-funka-bay-${index + 3}`, Array.from({length: CHANGES}, (_, line) => JSON.stringify({
			level: 40, time: 1, instance: `edge-funka-bay-${index + 3}`, event: 300, targetId: `i-${line}`, msg: 'target-suspected',
		})),
	] as const);
	const processes = [...stopping.peerLines, [STOPPING, stopping.lines] as const].map(([name, lines]) => [name, lines.map(line => JSON.stringify(line))] as const);
	return new Map([...crowded, ...processes].map(([name, lines]) => [name, [...lines]]));
}

type Cut = {
	readonly deadlineMs?: number;
	/** Called with SIGTERM sent. */
	readonly cut: (stopping: StoppingProcess, socket: Socket) => Promise<void>;
	readonly reason: string;
	readonly outcome: string;
};

const cuts: Readonly<Record<string, Cut>> = {
	'its caller\'s connection is reset': {
		async cut(_stopping, socket) {
			await delay(500);
			socket.resetAndDestroy();
			await delay(1000);
		},
		reason: 'connection-error',
		outcome: 'canceled',
	},
	'its deadline passes': {
		deadlineMs: 1500,
		async cut() {
			await delay(2500);
		},
		reason: 'deadline',
		outcome: 'canceled',
	},
	'its instance comes to the end of its grace': {
		async cut() {
			await delay(GRACE_MS + 500);
		},
		reason: 'instance-stopped',
		outcome: 'canceled',
	},
	'its instance is killed': {
		async cut(stopping) {
			await delay(2000);
			stopping.process.kill('SIGKILL');
			await delay(4500);
		},
		reason: 'instance-lost',
		outcome: 'open',
	},
};

async function start(t: TestContext): Promise<StoppingProcess> {
	const stopping = await StoppingProcess.start(bundle, {instanceId: STOPPING, peerIds: PEERS});
	t.after(async () => {
		await stopping.close();
	});
	return stopping;
}

// Guards against records of a case (LOST, issue 82) that do not name the cause, since they end before the instance that cut the request.
for (const [name, {deadlineMs, cut, reason, outcome}] of Object.entries(cuts)) {
	test(`a record that is cut names a stream that ends while its instance stops: ${name}`, async t => {
		const stopping = await start(t);
		const socket = await stopping.beginStream(REQUEST_ID, deadlineMs);
		stopping.process.kill('SIGTERM');
		await cut(stopping, socket);
		socket.destroy();
		await stopping.waitForPeerLines(REQUEST_ID);
		const record = showRecord(logsOf(stopping), REQUEST_ID);
		assert.ok(record.length <= 40);
		assert.ok(!record.includes(`${STOPPING}:`), 'the instance that cut it is shown');
		const naming = record.filter(line => line.includes(`"requestId":"${REQUEST_ID}"`));
		assert.equal(naming.length, PEERS.length, record.join('\n'));
		for (const line of naming) {
			assert.match(line, new RegExp(`"reason":"${reason}","by":"okhotsk-coast-2","tries":"i-\\d:${outcome}"`, 'v'));
		}
	});
}

// Guards against failures of targets that fill a record: one line each, and none of it a warning.
test('a plain failure of a target takes one line of a record', async t => {
	const stopping = await StoppingProcess.start(bundle, {
		instanceId: STOPPING, handlers: Object.fromEntries(['i-1', 'i-2'].map(id => [id, (_request, response, headers) => {
			response.writeHead(504, headers).end('late');
		}])),
	});
	t.after(async () => {
		await stopping.close();
	});
	const {id, status} = await stopping.call(new Agent(), '/sign/1');
	assert.equal(status, 504);
	// Lines that are not urgent are handed over each second.
	await delay(1500);
	const lines = stopping.linesOf(id).filter(line => JSON.stringify(line).includes('failed') || Number(line.level) >= 40);
	assert.deepEqual(lines.map(({event, level}) => [event, level]), [[205, 30]], JSON.stringify(stopping.linesOf(id)));
	assert.match(String(lines[0]?.tries), /^i-\d:failed:504$/v);
});
