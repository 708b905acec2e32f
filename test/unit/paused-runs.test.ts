/**
Sound runners that pause for longer than usual, before the deployed process at full speed: a
request that is sent to a second runner as well gets the answer of whichever brings one.
*/
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {PlatformBundle} from '../standins/platform-process.js';
import {
	EVENTS, moveHandlers, pause,
} from '../standins/paused-runs.js';
import {StoppingProcess, type Outcome, type RunHandler} from '../standins/stopping-process.js';

/** As the requests of the incident state. */
const DEADLINE_MS = 4000;
const REQUESTS = 30;
const SENT_BEFORE_STOP = 16;
const INTERVAL_MS = 40;
/** Longer than a stream is left without a second try, and shorter than callers wait for the next event. */
const PAUSE_MS = 1500;
/** Time within which a run has to end once the request has gone on at another runner. */
const OVERLAP_MS = 400;
const paths = [`/ask/3/${PAUSE_MS}`, `/ask/0/${PAUSE_MS}`, `/read/0/${PAUSE_MS}`];

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

function describe(outcomes: readonly Outcome[], sinceMs: number): string[] {
	return outcomes.map(({path, sentAtMs, endedAtMs, status, isWhole, error, events}) => `${path} sent ${Math.round(sentAtMs - sinceMs)} ended ${Math.round(endedAtMs - sinceMs)}: ${status ?? error}${isWhole ? '' : ', not whole'}, ${events} events`);
}

type Around = {
	/** What changes beside the stop; called once with the process before requests are sent. */
	readonly disturb?: (stopping: StoppingProcess) => () => void;
};

type StopResult = {
	readonly stopping: StoppingProcess;
	readonly outcomes: readonly Outcome[];
	readonly signalledAtMs: number;
};

/** Sends requests one after the other, and SIGTERM between them. */
async function callAroundStop(t: TestContext, other: RunHandler, {disturb = () => () => undefined}: Around = {}): Promise<StopResult> {
	const stopping = await StoppingProcess.start(bundle, {handlers: {'i-1': pause, 'i-2': other}});
	const agent = new Agent({keepAlive: true});
	t.after(async () => {
		agent.destroy();
		await stopping.close();
	});
	const endDisturbance = disturb(stopping);
	const calls: Array<Promise<Outcome>> = [];
	let signalledAtMs = 0;
	for (let sent = 0; sent < REQUESTS; sent++) {
		if (sent === SENT_BEFORE_STOP) {
			signalledAtMs = performance.now();
			stopping.process.kill('SIGTERM');
		}

		calls.push(stopping.call(agent, paths[sent % paths.length]!, 0, DEADLINE_MS));
		await delay(INTERVAL_MS);
	}

	await stopping.exit(signalledAtMs);
	endDisturbance();
	return {stopping, outcomes: await Promise.all(calls), signalledAtMs};
}

function isServed({path, isWhole, status, events}: Outcome): boolean {
	return isWhole && status === 200 && (path.startsWith('/read') || events === EVENTS);
}

for (const result of ['fails', 'is reset', 'is reset inside an event', 'is declined', 'is never answered', 'is served'] as const) {
	// Guards against an answer that is ended early, though its runner is sound and only pauses, since what was sent to a second runner comes to nothing there (LOST).
	test(`requests whose runner pauses are answered, also around SIGTERM, when what is sent to another runner ${result}`, async t => {
		const {stopping, outcomes, signalledAtMs} = await callAroundStop(t, moveHandlers[result]);
		assert.deepEqual(describe(outcomes.filter(outcome => !isServed(outcome)), signalledAtMs), []);
		// No more runners than the route's attempts, and none that goes on beside the one that answers.
		assert.deepEqual([...stopping.runs].filter(([, runs]) => new Set(runs.map(({runner}) => runner)).size > 2), []);
		const outcomesById = new Map(outcomes.map(outcome => [outcome.id, outcome]));
		const overlapping = [...stopping.runs].filter(([id, runs]) => outcomesById.has(id) && runs.some(({endedAtMs}) => endedAtMs > outcomesById.get(id)!.endedAtMs + OVERLAP_MS));
		assert.deepEqual(overlapping, []);
	});
}

const CHANGE_INTERVAL_MS = 150;
/** Of each turn, the process runs for this share. */
const TURN_MS = 100;
const BEHIND_SHARE = 0.4;

/** New versions of the configuration, settings read again, and a runner that announces that it leaves, is removed from the registry and serves on. */
function changeFleet(stopping: StoppingProcess): () => void {
	let changes = 0;
	const timer = setInterval(() => {
		changes++;
		stopping.changeConfiguration(changes);
		if (changes % 3 === 0) {
			stopping.process.kill('SIGHUP');
		}

		if (changes === 5) {
			stopping.setRunnerState('i-1', 'draining');
		} else if (changes === 15) {
			stopping.removeRunner('i-1');
		}
	}, CHANGE_INTERVAL_MS);
	return () => {
		clearInterval(timer);
	};
}

/** Gives the process a part of the processor. */
function holdBack({process}: StoppingProcess): () => void {
	const timers: NodeJS.Timeout[] = [];
	const turn = setInterval(() => {
		process.kill('SIGSTOP');
		timers.push(setTimeout(() => {
			process.kill('SIGCONT');
		}, TURN_MS * (1 - BEHIND_SHARE)));
	}, TURN_MS);
	return () => {
		clearInterval(turn);
		for (const timer of timers) {
			clearTimeout(timer);
		}

		process.kill('SIGCONT');
	};
}

const speeds: Readonly<Record<string, (stopping: StoppingProcess) => () => void>> = {
	'at full speed': changeFleet,
	'that is behind'(stopping) {
		const ends = [changeFleet(stopping), holdBack(stopping)];
		return () => {
			for (const end of ends) {
				end();
			}
		};
	},
};

for (const [speed, disturb] of Object.entries(speeds)) {
	for (const [what, other] of [['pauses as well', pause], ['fails', moveHandlers.fails]] as const) {
		// Guards against answers that are ended early where a stop, changes of the configuration, a runner that leaves and pauses come together (LOST).
		test(`requests are answered by an instance ${speed}, which stops while its configuration changes and one runner leaves, when runners pause and the other ${what}`, async t => {
			const {stopping, outcomes, signalledAtMs} = await callAroundStop(t, other, {disturb});
			// What only the runner that fails has run, since the other one has left, ends with its error.
			const hasFailed = ({id, status, isWhole}: Outcome) => other !== pause && isWhole && status === 500 && stopping.runs.get(id)!.every(({runner}) => runner === 'i-2');
			assert.deepEqual(describe(outcomes.filter(outcome => !isServed(outcome) && !hasFailed(outcome)), signalledAtMs), []);
		});
	}
}
