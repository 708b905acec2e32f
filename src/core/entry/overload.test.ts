/**
Overload of two, five and ten times the capacity of the targets, without a network:
which requests are served or refused, and how fast the instance recovers afterwards.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	configuration, targetEntry, EntryHarness, effectsOfKind, route,
} from '../../../test/standins/entry-harness.js';

const SLOTS = 6;
const TARGETS = 2;
const WORK_MS = 100;
const CAPACITY_PER_S = TARGETS * SLOTS * 1000 / WORK_MS;
const STEP_MS = 10;
const urgentPath = '/urgent/1';
const lowPriorityPath = '/leisurely/1';
const objectives: Readonly<Record<string, number>> = {[urgentPath]: 200, [lowPriorityPath]: 1000};

type RequestRecord = {
	readonly arrivedAtMs: number;
	readonly path: string;
	endedAtMs?: number;
	isServed?: boolean;
	code?: string;
	retryAfterMs?: number;
};

/** Simulates targets that run `SLOTS` requests at once for `WORK_MS` each, and queue the others in order of arrival. */
class OverloadSimulation {
	readonly core: EntryHarness;
	readonly records = new Map<string, RequestRecord>();
	private readonly _queues = new Map<string, Array<{requestId: string; tryNumber: number; endsAtMs: number}>>();
	private _requests = 0;
	private _pendingArrivals = 0;

	constructor() {
		this.core = new EntryHarness().configure(configuration({
			routes: [
				route({
					name: 'urgent', prefix: '/urgent/', rank: 0, timeoutMs: 1000, patienceMs: 1000,
				}),
				route({
					name: 'leisurely', prefix: '/leisurely/', rank: 2, timeoutMs: 3000, patienceMs: 3000, objectiveMs: 1000,
				}),
			],
		})).readRegistry(Array.from({length: TARGETS}, (_, index) => targetEntry(`t${index}`, {slots: SLOTS})));
		this._applyEffects();
	}

	/** Sends requests at a multiple of the capacity, half of them urgent. */
	load(durationMs: number, times: number): void {
		for (const endMs = this.core.nowMs + durationMs; this.core.nowMs < endMs;) {
			this._pendingArrivals += CAPACITY_PER_S * times * STEP_MS / 1000;
			for (; this._pendingArrivals >= 1; this._pendingArrivals--) {
				this._arrive();
			}

			this.core.nowMs += STEP_MS;
			this._completeWork();
			if (this.core.nowMs % 50 === 0) {
				this.core.dispatch({kind: 'tick'});
				// Respond to registry reads, so that the registry does not go stale.
				if (effectsOfKind(this.core.effects, 'read-registry').length > 0) {
					this.core.readRegistry(Array.from({length: TARGETS}, (_, index) => targetEntry(`t${index}`, {slots: SLOTS})));
				}
			}

			this._applyEffects();
		}
	}

	/** Requests on a path that arrived in a time span. */
	arrivedBetween(path: string, fromMs: number, untilMs: number): RequestRecord[] {
		return [...this.records.values()].filter(record => record.path === path && record.arrivedAtMs >= fromMs && record.arrivedAtMs < untilMs);
	}

	private _arrive(): void {
		this._requests++;
		const id = `r${this._requests}`;
		const path = this._requests % 2 === 0 ? urgentPath : lowPriorityPath;
		this.records.set(id, {arrivedAtMs: this.core.nowMs, path});
		this.core.arrive(id, path, {deadlineMs: path === urgentPath ? 1000 : 3000});
		this._applyEffects();
	}

	private _completeWork(): void {
		for (const queue of this._queues.values()) {
			while (queue[0] && queue[0].endsAtMs <= this.core.nowMs) {
				const {requestId, tryNumber} = queue.shift()!;
				this.core.endTry(requestId, tryNumber, 'answered');
			}
		}
	}

	private _applyEffects(): void {
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
					Object.assign(this.records.get(effect.requestId)!, {endedAtMs: nowMs, isServed: true});
					break;
				}

				case 'refuse': {
					Object.assign(this.records.get(effect.requestId)!, {
						endedAtMs: nowMs, isServed: false, code: effect.code, retryAfterMs: effect.retryAfterMs,
					});
					break;
				}

				default:
			}
		}
	}
}

function served(records: readonly RequestRecord[]): number {
	return records.filter(({isServed}) => isServed).length;
}

for (const times of [2, 5, 10]) {
	test(`at ${times} times the capacity, targets stay busy, urgent requests go first, and every request gets a response by its deadline`, () => {
		const simulation = new OverloadSimulation();
		const startMs = simulation.core.nowMs;
		simulation.load(6000, times);
		simulation.load(4000, 0);
		const fromMs = startMs + 1000;
		const untilMs = startMs + 5000;
		const urgent = simulation.arrivedBetween(urgentPath, fromMs, untilMs);
		const lowPriority = simulation.arrivedBetween(lowPriorityPath, fromMs, untilMs);
		const perSecond = (served(urgent) + served(lowPriority)) / 4;
		assert.ok(perSecond >= CAPACITY_PER_S * 0.9, `served ${perSecond} requests a second of a capacity of ${CAPACITY_PER_S}`);
		assert.ok(served(urgent) / urgent.length >= served(lowPriority) / lowPriority.length, `${served(urgent)} of ${urgent.length} urgent, ${served(lowPriority)} of ${lowPriority.length} others`);
		for (const {arrivedAtMs, endedAtMs, path} of [...urgent, ...lowPriority]) {
			const limitMs = path === urgentPath ? 1000 : 3000;
			assert.ok(endedAtMs !== undefined && endedAtMs - arrivedAtMs <= limitMs + 50, 'every request has its final response by its deadline');
		}

		assert.ok(lowPriority.filter(({isServed}) => isServed === false).every(({retryAfterMs}) => (retryAfterMs ?? 0) > 0), 'refused requests get a retry delay');
	});

	test(`after two seconds at ${times} times the capacity, a load of half the capacity is served in time again within three seconds`, () => {
		const simulation = new OverloadSimulation();
		simulation.load(2000, times);
		const underloadFromMs = simulation.core.nowMs;
		simulation.load(6000, 0.5);
		const late = [urgentPath, lowPriorityPath]
			.flatMap(path => simulation.arrivedBetween(path, underloadFromMs + 3000, underloadFromMs + 5000))
			.filter(({isServed, path, arrivedAtMs, endedAtMs}) => !isServed || (endedAtMs ?? Number.POSITIVE_INFINITY) - arrivedAtMs > objectives[path]!);
		assert.equal(late.length, 0, `${late.length} requests were not served in time`);
	});
}
