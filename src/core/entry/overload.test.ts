/**
Two, five and ten times the load that targets serve, and the time after it, without
network: what is served, who is refused, and how soon all is as before.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	configuration, entry, EntryCore, ofKind, route,
} from '../../../test/standins/entry-core.js';

const SLOTS = 6;
const TARGETS = 2;
const WORK_MS = 100;
const CAPACITY_PER_S = TARGETS * SLOTS * 1000 / WORK_MS;
const STEP_MS = 10;
const urgentPath = '/urgent/1';
const leisurelyPath = '/leisurely/1';
const objectives: Readonly<Record<string, number>> = {[urgentPath]: 200, [leisurelyPath]: 1000};

type Fate = {
	readonly arrivedAtMs: number;
	readonly path: string;
	endedAtMs?: number;
	isServed?: boolean;
	code?: string;
	retryAfterMs?: number;
};

/** Two targets that run so many requests at once, each for so long, and work the rest off in order of arrival. */
class World {
	readonly core: EntryCore;
	readonly fates = new Map<string, Fate>();
	private readonly _queues = new Map<string, Array<{requestId: string; tryNumber: number; endsAtMs: number}>>();
	private _requests = 0;
	private _owed = 0;

	constructor() {
		this.core = new EntryCore().configure(configuration({
			routes: [
				route({
					name: 'urgent', prefix: '/urgent/', rank: 0, timeoutMs: 1000, patienceMs: 1000,
				}),
				route({
					name: 'leisurely', prefix: '/leisurely/', rank: 2, timeoutMs: 3000, patienceMs: 3000, objectiveMs: 1000,
				}),
			],
		})).list(Array.from({length: TARGETS}, (_, index) => entry(`t${index}`, {slots: SLOTS})));
		this._take();
	}

	/** Lets requests come at a multiple of the capacity, half of them urgent. */
	load(durationMs: number, times: number): void {
		for (const endMs = this.core.nowMs + durationMs; this.core.nowMs < endMs;) {
			this._owed += CAPACITY_PER_S * times * STEP_MS / 1000;
			for (; this._owed >= 1; this._owed--) {
				this._arrive();
			}

			this.core.nowMs += STEP_MS;
			this._work();
			if (this.core.nowMs % 50 === 0) {
				this.core.dispatch({kind: 'tick'});
				// The registry is read as it should be.
				if (ofKind(this.core.effects, 'read-registry').length > 0) {
					this.core.list(Array.from({length: TARGETS}, (_, index) => entry(`t${index}`, {slots: SLOTS})));
				}
			}

			this._take();
		}
	}

	/** Requests on a path that arrived in a span. */
	select(path: string, fromMs: number, untilMs: number): Fate[] {
		return [...this.fates.values()].filter(fate => fate.path === path && fate.arrivedAtMs >= fromMs && fate.arrivedAtMs < untilMs);
	}

	private _arrive(): void {
		this._requests++;
		const id = `r${this._requests}`;
		const path = this._requests % 2 === 0 ? urgentPath : leisurelyPath;
		this.fates.set(id, {arrivedAtMs: this.core.nowMs, path});
		this.core.arrive(id, path, {deadlineMs: path === urgentPath ? 1000 : 3000});
		this._take();
	}

	private _work(): void {
		for (const queue of this._queues.values()) {
			while (queue[0] && queue[0].endsAtMs <= this.core.nowMs) {
				const {requestId, tryNumber} = queue.shift()!;
				this.core.end(requestId, tryNumber, 'answered');
			}
		}
	}

	private _take(): void {
		for (const effect of this.core.effects.splice(0)) {
			const {nowMs} = this.core;
			switch (effect.kind) {
				case 'send': {
					const queue = this._queues.get(effect.targetId) ?? [];
					this._queues.set(effect.targetId, queue);
					const ahead = queue.at(-SLOTS)?.endsAtMs ?? nowMs;
					queue.push({requestId: effect.requestId, tryNumber: effect.tryNumber, endsAtMs: Math.max(nowMs, ahead) + WORK_MS});
					break;
				}

				case 'deliver': {
					Object.assign(this.fates.get(effect.requestId)!, {endedAtMs: nowMs, isServed: true});
					break;
				}

				case 'refuse': {
					Object.assign(this.fates.get(effect.requestId)!, {
						endedAtMs: nowMs, isServed: false, code: effect.code, retryAfterMs: effect.retryAfterMs,
					});
					break;
				}

				default:
			}
		}
	}
}

function served(fates: readonly Fate[]): number {
	return fates.filter(({isServed}) => isServed).length;
}

for (const times of [2, 5, 10]) {
	test(`pattern: ${times} times the load that targets serve; they stay busy, urgent requests go first, the rest hears soon`, () => {
		const world = new World();
		const startMs = world.core.nowMs;
		world.load(6000, times);
		world.load(4000, 0);
		const fromMs = startMs + 1000;
		const untilMs = startMs + 5000;
		const urgent = world.select(urgentPath, fromMs, untilMs);
		const leisurely = world.select(leisurelyPath, fromMs, untilMs);
		const perSecond = (served(urgent) + served(leisurely)) / 4;
		assert.ok(perSecond >= CAPACITY_PER_S * 0.9, `${perSecond} of ${CAPACITY_PER_S} a second are served`);
		assert.ok(served(urgent) / urgent.length >= served(leisurely) / leisurely.length, `${served(urgent)} of ${urgent.length} urgent, ${served(leisurely)} of ${leisurely.length} others`);
		for (const {arrivedAtMs, endedAtMs, path} of [...urgent, ...leisurely]) {
			const limitMs = path === urgentPath ? 1000 : 3000;
			assert.ok(endedAtMs !== undefined && endedAtMs - arrivedAtMs <= limitMs + 50, 'every request has its final answer by its deadline');
		}

		assert.ok(leisurely.filter(({isServed}) => isServed === false).every(({retryAfterMs}) => (retryAfterMs ?? 0) > 0), 'who is sent away is told when to come back');
	});

	test(`pattern: ${times} times the load for two seconds, then half of it; all is served in time again within three seconds`, () => {
		const world = new World();
		world.load(2000, times);
		const calmMs = world.core.nowMs;
		world.load(6000, 0.5);
		const late = [urgentPath, leisurelyPath]
			.flatMap(path => world.select(path, calmMs + 3000, calmMs + 5000))
			.filter(({isServed, path, arrivedAtMs, endedAtMs}) => !isServed || (endedAtMs ?? Number.POSITIVE_INFINITY) - arrivedAtMs > objectives[path]!);
		assert.equal(late.length, 0, `${late.length} requests are not served in time`);
	});
}
