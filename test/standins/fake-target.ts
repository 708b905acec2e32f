/**
A fake target for simulations with a virtual clock. It runs jobs in a fixed number of
slots, queues the others, holds models in memory, checks the fencing tokens of orders
if configured to, and can crash and restart.
*/
import {type TargetReport} from '../../src/core/event.js';
import {type Order, type OrderOutcome} from '../../src/core/placement/types.js';

export type FakeTargetOptions = {
	readonly id: string;
	readonly slots?: number;
	readonly checksFencing?: boolean;
	readonly resident?: Readonly<Record<string, number>>;
};

export type Job = {
	readonly contentHash: string;
	readonly serviceMs: number;
	readonly priorityRank: number;
	readonly onStart: () => void;
	readonly onEnd: (crashed: boolean) => void;
};

export class FakeTarget {
	readonly id: string;
	readonly slots: number;
	readonly resident: Map<string, number>;
	boot = 1;
	isUp = true;
	/** Largest total size of the resident models at any time, in MB. */
	peakMemoryMb = 0;
	loads = 0;
	unloads = 0;
	crashes = 0;
	readonly running = new Set<Job>();
	waiting: Job[] = [];
	private readonly _checksFencing: boolean;
	private _highestFencingToken = 0;

	constructor({id, slots = 8, checksFencing = false, resident = {}}: FakeTargetOptions) {
		this.id = id;
		this.slots = slots;
		this.resident = new Map(Object.entries(resident));
		this._checksFencing = checksFencing;
		this._updatePeakMemory();
	}

	get memoryMb(): number {
		return [...this.resident.values()].reduce((sum, size) => sum + size, 0);
	}

	report(): TargetReport {
		return {
			boot: `${this.id}#${this.boot}`,
			running: this.running.size,
			waiting: this.waiting.length,
			models: [...this.resident.keys()],
			adapters: [],
		};
	}

	/** Moves the next waiting job into a free slot: lowest priority rank first, then in order of arrival. */
	startNext(): Job | undefined {
		if (this.running.size >= this.slots || this.waiting.length === 0) {
			return undefined;
		}

		const rank = Math.min(...this.waiting.map(({priorityRank}) => priorityRank));
		const index = this.waiting.findIndex(({priorityRank}) => priorityRank === rank);
		const [job] = this.waiting.splice(index, 1);
		if (job) {
			this.running.add(job);
		}

		return job;
	}

	/** Removes a running or waiting job whose sender has canceled it, without calling its `onEnd`. */
	cancel(job: Job): void {
		this.running.delete(job);
		this.waiting = this.waiting.filter(other => other !== job);
	}

	/** Ends the target's process: all jobs fail, and resident models and the highest fencing token are lost. */
	crash(): void {
		this.crashes++;
		const jobs = [...this.running, ...this.waiting];
		this.running.clear();
		this.waiting = [];
		this.resident.clear();
		this.isUp = false;
		this._highestFencingToken = 0;
		for (const job of jobs) {
			job.onEnd(true);
		}
	}

	restart(): void {
		this.boot++;
		this.isUp = true;
	}

	/** Executes an order however late it arrives, unless its fencing token is checked and stale. */
	applyOrder(order: Order): OrderOutcome {
		if (!this.isUp) {
			return 'not-sent';
		}

		if (this._checksFencing && order.fence <= this._highestFencingToken) {
			return 'refused';
		}

		this._highestFencingToken = Math.max(this._highestFencingToken, order.fence);
		const name = `${order.model}@${order.version}`;
		if (order.kind === 'load-model') {
			this.loads += this.resident.has(name) ? 0 : 1;
			this.resident.set(name, order.memoryMb);
			this._updatePeakMemory();
		} else {
			this.unloads += this.resident.delete(name) ? 1 : 0;
		}

		return 'done';
	}

	private _updatePeakMemory(): void {
		this.peakMemoryMb = Math.max(this.peakMemoryMb, this.memoryMb);
	}
}
