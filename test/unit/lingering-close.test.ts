/**
Callers whose connections the instance closes behind their last answer take it whole, also
if they still send something and if the way to them loses what it holds when the instance
resets; none of them holds up a stop for long.
*/
import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {LINGER_MS} from '../../src/entry/caller-socket.js';
import {DelayedLink} from '../standins/delayed-link.js';
import {PlatformBundle} from '../standins/platform-process.js';
import {SocketCaller} from '../standins/socket-caller.js';
import {StoppingProcess, type RunHandler} from '../standins/stopping-process.js';

const ANSWER_BYTES = 300_000;
const RUN_MS = 700;
/** What a stop takes beside the waiting for callers. */
const STOP_MS = 1500;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

const run: RunHandler = async (_request, response, headers) => {
	await delay(RUN_MS);
	response.writeHead(200, {...headers, 'content-length': ANSWER_BYTES}).end('x'.repeat(ANSWER_BYTES));
};

async function start(t: TestContext): Promise<StoppingProcess> {
	const stopping = await StoppingProcess.start(bundle, {handlers: {'i-1': run, 'i-2': run}});
	t.after(async () => {
		await stopping.close();
	});
	return stopping;
}

async function waitFor(condition: () => boolean): Promise<void> {
	for (let polls = 0; !condition(); polls++) {
		assert.ok(polls < 400, 'timed out');
		await delay(20);
	}
}

/** What a caller does until its connection has ended. */
const habits: Readonly<Record<string, (caller: SocketCaller, path: string) => void>> = {
	'sends its next request ahead'(caller, path) {
		caller.send({path, id: `next-${caller.socket.localPort}`});
	},
	'keeps sending'(caller) {
		const timer = setInterval(() => {
			caller.socket.write('\r\n');
		}, 10);
		for (const event of ['end', 'close']) {
			caller.socket.once(event, () => {
				clearInterval(timer);
			});
		}
	},
	'sends more when the answer begins'(caller, path) {
		caller.socket.once('data', () => {
			caller.send({path, id: `more-${caller.socket.localPort}`});
		});
	},
	'reads slowly'(caller) {
		caller.socket.on('data', () => {
			caller.socket.pause();
			setTimeout(() => {
				caller.socket.resume();
			}, 30);
		});
	},
};

const CALLERS_PER_HABIT = 5;

for (const stops of [false, true]) {
	// Guards against answers whose tail is lost, since the instance closes the connection while input is unread (LOST).
	test(`the last answer of a connection arrives whole, ${stops ? 'while the instance stops' : 'calm'}`, async t => {
		const stopping = await start(t);
		const callers: Array<readonly [name: string, caller: SocketCaller]> = [];
		for (const delayMs of [0, 3, 100]) {
			const link = delayMs === 0 ? undefined : await DelayedLink.start(stopping.callersPort, delayMs);
			t.after(() => {
				link?.close();
			});
			for (const [habit, begin] of Object.entries(habits)) {
				for (let index = 0; index < CALLERS_PER_HABIT; index++) {
					const caller = new SocketCaller(link?.port ?? stopping.callersPort);
					const path = '/read/large';
					caller.send({path, id: `${habit.replaceAll(' ', '-')}-${delayMs}-${index}`, headers: stops ? [] : ['Connection: close']});
					begin(caller, path);
					callers.push([`${habit}, ${delayMs} ms`, caller]);
				}
			}
		}

		t.after(() => {
			for (const [, caller] of callers) {
				caller.leave();
			}
		});
		if (stops) {
			await delay(RUN_MS / 2);
			stopping.process.kill('SIGTERM');
		}

		for (const [, caller] of callers) {
			caller.socket.once('end', () => {
				caller.socket.end();
			});
		}

		await waitFor(() => callers.every(([, caller]) => Number.isFinite(caller.endedAtMs)));
		const broken = callers.filter(([, caller]) => caller.answers < 1);
		t.diagnostic(`${callers.length - broken.length} of ${callers.length} whole`);
		assert.deepEqual(broken.map(([name, caller]) => [name, caller.error, caller.text.length]), []);
		if (stops) {
			await stopping.exit(performance.now());
			assert.equal(stopping.exitCode, 0);
		}
	});
}

// Guards against stops that callers hold up.
for (const [name, isIdle] of [['idle connections', true], ['connections with an answer under way', false]] as const) {
	test(`callers that never close their side do not hold up a stop: ${name}`, async t => {
		const stopping = await start(t);
		const callers = Array.from({length: 10}, (_, index) => new SocketCaller(stopping.callersPort).send({path: '/read/large', id: `open-${index}`}));
		if (isIdle) {
			await waitFor(() => callers.every(({answers}) => answers === 1));
			await delay(LINGER_MS + 100);
		} else {
			await delay(RUN_MS / 2);
		}

		const signalledAtMs = performance.now();
		stopping.process.kill('SIGTERM');
		await waitFor(() => callers.every(({answers, endedAtMs}) => answers === 1 && Number.isFinite(endedAtMs)));
		const endedAtMs = Math.max(...callers.map(caller => caller.endedAtMs));
		await stopping.exit(signalledAtMs);
		t.diagnostic(`stopped after ${Math.round(stopping.exitedAtMs - signalledAtMs)} ms, ${Math.round(stopping.exitedAtMs - endedAtMs)} ms after the connections were closed`);
		assert.equal(stopping.exitCode, 0);
		assert.ok(stopping.exitedAtMs - endedAtMs < (isIdle ? 0 : LINGER_MS) + STOP_MS);
		// Whether the last bytes of these answers have arrived is not known when the process ends.
		for (const index of callers.keys()) {
			const ends = stopping.linesOf(`open-${index}`).filter(({event}) => event === 218);
			assert.deepEqual(ends.map(({reason}) => reason), isIdle ? [] : ['answer-unconfirmed']);
		}

		for (const caller of callers) {
			caller.leave();
		}
	});
}
