/**
Callers that close their sending side and read on, as HTTP allows, get their answers whole,
calm and while the instance stops. Callers that have left are told from them.
*/
import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {DelayedLink} from '../standins/delayed-link.js';
import {PlatformBundle} from '../standins/platform-process.js';
import {SocketCaller, type Framing} from '../standins/socket-caller.js';
import {StoppingProcess, type Run} from '../standins/stopping-process.js';

/** Time for which a run may go on after its caller has left, and after which no request may reach a target. */
const TOLERANCE_MS = 500;
const RUN_MS = 1500;
const STREAM_EVENTS_MIN = 10;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

async function start(t: TestContext): Promise<StoppingProcess> {
	const stopping = await StoppingProcess.start(bundle);
	t.after(async () => {
		await stopping.close();
	});
	return stopping;
}

/** Ports of callers by the time that the way takes: direct, and over links. */
async function ways(t: TestContext, {callersPort}: StoppingProcess): Promise<ReadonlyArray<readonly [delayMs: number, port: number]>> {
	const links = await Promise.all([3, 100].map(async delayMs => [delayMs, await DelayedLink.start(callersPort, delayMs)] as const));
	t.after(() => {
		for (const [, link] of links) {
			link.close();
		}
	});
	return [[0, callersPort], ...links.map(([delayMs, link]) => [delayMs, link.port] as const)];
}

type Form = {
	readonly name: string;
	readonly caller: SocketCaller;
	readonly isStream: boolean;
	/** From the request to the end of the sending side. */
	readonly endMs: number;
};

const ENDS_MS: readonly number[] = [0, 300, 800];
const FRAMINGS: readonly Framing[] = ['length', 'chunks'];
const KINDS: ReadonlyArray<readonly [kind: string, isStream: boolean]> = [['ask', true], ['read', false], ['sign', false]];

/** Sends a request of each form. */
function sendAll(ports: ReadonlyArray<readonly [delayMs: number, port: number]>): Form[] {
	const forms = ports.flatMap(([delayMs, port]) => FRAMINGS.flatMap(framing => ENDS_MS.flatMap(endMs => KINDS.map(([kind, isStream]) => {
		const name = `${kind}-${framing}-fin-${endMs}-link-${delayMs}`;
		return {
			name, caller: new SocketCaller(port).send({path: `/${kind}/${RUN_MS}`, id: name, framing}), isStream, endMs,
		};
	}))));
	for (const {caller, endMs} of forms) {
		if (endMs === 0) {
			caller.end();
		} else {
			setTimeout(() => {
				caller.end();
			}, endMs);
		}
	}

	return forms;
}

for (const stops of [false, true]) {
	// Guards against streams and answers that are cut off since their callers have closed their sending side (LOST).
	test(`callers that close their sending side get their answers whole, ${stops ? 'while the instance stops' : 'calm'}`, async t => {
		const stopping = await start(t);
		const forms = sendAll(await ways(t, stopping));
		const sentAtMs = performance.now();
		if (stops) {
			await delay(600);
			stopping.process.kill('SIGTERM');
		}

		while (forms.some(({caller}) => !Number.isFinite(caller.endedAtMs)) && performance.now() - sentAtMs < 6000) {
			await delay(20);
		}

		const broken = forms.filter(({caller, isStream}) => !(caller.answers === 1 && caller.text.includes(' 200 ') && caller.error === '' && Number.isFinite(caller.endedAtMs)
			&& (isStream ? caller.text.split('data: x').length > STREAM_EVENTS_MIN : caller.text.endsWith('done'))));
		t.diagnostic(`${forms.length - broken.length} of ${forms.length} whole`);
		assert.deepEqual(broken.map(({name, caller}) => [name, caller.error, caller.text.slice(-300)]), []);
		assert.ok(forms.every(({caller}) => caller.interims <= 4), 'more interim responses than some callers accept');
		if (stops) {
			await stopping.exit(performance.now());
			assert.equal(stopping.exitCode, 0);
		}
	});
}

// Guards against requests that a caller has sent ahead and that are lost with the end of its sending side (LOST).
test('requests that were sent ahead of the end of the sending side are all answered', async t => {
	const stopping = await start(t);
	const caller = new SocketCaller(stopping.callersPort);
	for (let index = 0; index < 5; index++) {
		caller.send({path: '/read/200', id: `ahead-${index}`});
	}

	caller.end();
	await waitFor(() => Number.isFinite(caller.endedAtMs));
	assert.equal(caller.answers, 5, caller.text);
});

// Guards against interim responses to callers that cannot know them (RFC 9110, section 15.2).
test('a caller of HTTP/1.0 that closes its sending side gets its answer and no interim response', async t => {
	const stopping = await start(t);
	const caller = new SocketCaller(stopping.callersPort).send({path: '/read/600', id: 'old', version: '1.0'});
	caller.end();
	await waitFor(() => Number.isFinite(caller.endedAtMs));
	assert.match(caller.text, /^HTTP\/1\.1 200 .*done$/sv);
	assert.equal(caller.interims, 0);
});

// Guards against connections that are kept for callers that send nothing more.
test('a kept connection is closed at once when its caller closes its sending side', async t => {
	const stopping = await start(t);
	const caller = new SocketCaller(stopping.callersPort).send({path: '/read/20', id: 'kept'});
	await waitFor(() => caller.answers === 1);
	const endedAtMs = performance.now();
	caller.end();
	await waitFor(() => Number.isFinite(caller.endedAtMs));
	assert.ok(caller.endedAtMs - endedAtMs < 200, `${caller.endedAtMs - endedAtMs} ms`);
});

async function waitFor(condition: () => boolean): Promise<void> {
	for (let polls = 0; !condition(); polls++) {
		assert.ok(polls < 300, 'timed out');
		await delay(20);
	}
}

type Leaving = {
	readonly name: string;
	/** From the request to the leaving. */
	readonly leaveMs: number;
	/** From the end of the sending side, if that came before. */
	readonly endMs?: number;
};

const leavings: readonly Leaving[] = [
	{name: 'right behind the request', leaveMs: 0},
	{name: 'later', leaveMs: 400},
	{name: 'after closing the sending side', leaveMs: 400, endMs: 300},
];

// Guards against runs for callers that have left, which are taken for ones that only closed their sending side (GONE).
for (const {name, leaveMs, endMs} of leavings) {
	test(`callers that leave are told from those that read on: ${name}`, async t => {
		const stopping = await start(t);
		const callers: Array<readonly [id: string, caller: SocketCaller, delayMs: number]> = [];
		for (const [delayMs, port] of await ways(t, stopping)) {
			for (const path of ['/ask/5000', '/read/5000', '/sign/5000']) {
				for (let index = 0; index < 10; index++) {
					const id = `${path.split('/')[1]}-${delayMs}-${index}`;
					const caller = new SocketCaller(port).send({path, id});
					callers.push([id, caller, delayMs]);
				}
			}
		}

		if (leaveMs === 0) {
			await Promise.all(callers.map(async ([, {socket}]) => new Promise<void>(resolve => {
				socket.write('', () => {
					resolve();
				});
			})));
		} else {
			await delay(endMs ?? leaveMs);
		}

		if (endMs !== undefined) {
			for (const [, caller] of callers) {
				caller.end();
			}

			await delay(leaveMs - endMs);
		}

		for (const [, caller] of callers) {
			caller.leave();
		}

		await delay(2500);
		const runs = callers.flatMap(([id, caller, delayMs]) => (stopping.runs.get(id) ?? []).map((run: Run) => ({id, leftMs: caller.leftAtMs + delayMs, ...run})));
		const begunLate = runs.filter(({leftMs, beganAtMs}) => beganAtMs - leftMs > TOLERANCE_MS);
		const wentOn = runs.filter(({leftMs, endedAtMs}) => endedAtMs - leftMs > TOLERANCE_MS);
		const longestMs = Math.max(0, ...runs.map(({leftMs, endedAtMs}) => Math.round(endedAtMs - leftMs)));
		t.diagnostic(`${runs.length} of ${callers.length} ran, ${begunLate.length} begun late, ${wentOn.length} went on, longest ${longestMs} ms`);
		assert.deepEqual(begunLate.map(({id}) => id), []);
		assert.ok(wentOn.length * 4 <= callers.length, wentOn.map(({id, endedAtMs, leftMs}) => `${id} ${endedAtMs - leftMs}`).join(', '));
	});
}
