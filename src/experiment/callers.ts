/**
Callers as instances see them: they send a request, give up when nothing has come for
their patience, come back after a refusal that tells them when, and take up a stream that
was cut off with its instance.
*/
import {type Outcome, type OutcomeKind} from './outcomes.js';
import {modelName} from './deployment-configuration.js';
import {type Simulation} from './simulation.js';
import {type GeneratedRequest} from './workload.js';

/** Part of a stream that its caller has received. */
export type ReceivedStream = {
	/** The request that brought its first event. */
	readonly id: string;
	readonly release: string;
	readonly events: number;
};

export type Resumptions = {
	/** Streams that callers took up at an instance that was up. */
	begun: number;
	/** Of these, those that brought another event. */
	wentOn: number;
};

/** One sending of a request to an instance. */
export type Attempt<Server> = {
	readonly generated: GeneratedRequest;
	readonly id: string;
	readonly instance: Server;
	readonly retriesLeft: number;
	/** When the caller first sent the request, in this attempt or an earlier one. */
	readonly firstAtMs: number;
	/** Set once the caller has its final answer or has given up. */
	isDone: boolean;
	/** The stream that it takes up. */
	readonly resumed: ReceivedStream | undefined;
	/** Release of the engine that brought the first event. */
	release: string | undefined;
	/** Events of the stream that have reached the caller. */
	events: number;
	firstEventAtMs: number | undefined;
	lastEventAtMs: number;
	longestPauseMs: number;
	/** Whether a target has begun to run it. */
	wasRun: boolean;
};

export type CallerOptions<Server> = {
	readonly simulation: Simulation;
	/** When traffic starts. */
	readonly startMs: number;
	/** The instance that gets the next request from a zone, undefined if none is up. */
	readonly pick: (zone: number) => Server | undefined;
	readonly submit: (attempt: Attempt<Server>, deadlineMs: number) => void;
	/** Tells the instance that its caller has left. */
	readonly leave: (attempt: Attempt<Server>) => void;
	readonly onViolation: (text: string) => void;
};

/** How soon a caller takes up a stream, and tries again while no instance is up. */
const RESUME_DELAY_MS = 100;

export class Callers<Server> {
	readonly outcomes: Outcome[] = [];
	/** Attempts without a final answer, by request id. */
	readonly open = new Map<string, Attempt<Server>>();
	readonly resumptions: Resumptions = {begun: 0, wentOn: 0};
	private _attempts = 0;

	constructor(private readonly _options: CallerOptions<Server>) {}

	attempt(generated: GeneratedRequest, retriesLeft: number, firstAtMs = this._nowMs, resumed?: ReceivedStream): void {
		const instance = this._options.pick(generated.zone);
		if (!instance) {
			this._record({generated, firstAtMs}, 'failed');
			return;
		}

		this._attempts++;
		const attempt: Attempt<Server> = {
			generated,
			id: `r${this._attempts}`,
			instance,
			retriesLeft,
			firstAtMs,
			isDone: false,
			resumed,
			release: resumed?.release,
			events: resumed?.events ?? 0,
			firstEventAtMs: undefined,
			lastEventAtMs: this._nowMs,
			longestPauseMs: 0,
			wasRun: false,
		};
		this.open.set(attempt.id, attempt);
		this._options.submit(attempt, this._leftMs(attempt));
		this._watchPatience(attempt);
	}

	/** Records that a target begins to run the request. */
	markRun(attempt: Attempt<Server>): void {
		if (attempt.wasRun && attempt.generated.kind.repeat === 'once') {
			this._options.onViolation(`${Math.round(this._nowMs)} ms: ${attempt.id} must run at most once and ran twice`);
		}

		attempt.wasRun = true;
	}

	receiveEvent(attempt: Attempt<Server>, release: string): void {
		if (attempt.resumed && attempt.firstEventAtMs === undefined) {
			this.resumptions.wentOn++;
		}

		attempt.release ??= release;
		if (attempt.release !== release) {
			this._options.onViolation(`${Math.round(this._nowMs)} ms: ${attempt.id} began at ${attempt.release} and went on at ${release}`);
		}

		if (attempt.firstEventAtMs !== undefined) {
			attempt.longestPauseMs = Math.max(attempt.longestPauseMs, this._nowMs - attempt.lastEventAtMs);
		}

		attempt.firstEventAtMs ??= this._nowMs;
		attempt.lastEventAtMs = this._nowMs;
		attempt.events++;
	}

	complete(id: string): void {
		const attempt = this.open.get(id);
		if (!attempt) {
			return;
		}

		const {generated: {kind}, firstAtMs, firstEventAtMs, longestPauseMs} = attempt;
		const tookMs = (firstEventAtMs ?? this._nowMs) - firstAtMs;
		this.finish(id, tookMs <= kind.objectiveMs && longestPauseMs <= kind.pauseMs ? 'in-time' : 'late', tookMs);
	}

	/** The caller comes back if the refusal says when, and there is time. `mayHaveRun`: the refusal promises nothing. */
	refuse(id: string, retryAfterMs: number | undefined, mayHaveRun: boolean): void {
		const attempt = this.open.get(id);
		if (!attempt || attempt.isDone) {
			return;
		}

		if (!mayHaveRun && attempt.wasRun) {
			this._options.onViolation(`${Math.round(this._nowMs)} ms: ${id} was refused as not run and has run`);
		}

		const leftMs = this._leftMs(attempt);
		if (mayHaveRun || retryAfterMs === undefined || attempt.retriesLeft === 0 || retryAfterMs >= leftMs) {
			this.finish(id, mayHaveRun ? 'failed' : 'refused');
			return;
		}

		attempt.isDone = true;
		this.open.delete(id);
		this._options.simulation.schedule(Math.min(retryAfterMs, leftMs / 3), () => {
			this.attempt(attempt.generated, attempt.retriesLeft - 1, attempt.firstAtMs, attempt.resumed);
		});
	}

	finish(id: string, outcome: OutcomeKind, tookMs?: number): void {
		const attempt = this.open.get(id);
		if (attempt && !attempt.isDone) {
			attempt.isDone = true;
			this.open.delete(id);
			this._record(attempt, outcome, tookMs);
		}
	}

	/** Fails what an instance has open when it dies. Streams that have begun and may be resumed are taken up at another instance. */
	failAt(instance: Server): void {
		for (const [id, attempt] of this.open) {
			if (attempt.instance !== instance) {
				continue;
			}

			const {generated: {kind}, release, events, resumed} = attempt;
			if (kind.prompt && kind.repeat === 'idempotent' && release !== undefined) {
				attempt.isDone = true;
				this.open.delete(id);
				this._resume(attempt, {id: resumed?.id ?? id, release, events});
			} else {
				this.finish(id, 'failed');
			}
		}
	}

	private _resume(attempt: Attempt<Server>, stream: ReceivedStream): void {
		this._options.simulation.schedule(RESUME_DELAY_MS, () => {
			if (this._leftMs(attempt) <= 0) {
				this._record(attempt, 'failed');
			} else if (this._options.pick(attempt.generated.zone)) {
				this.resumptions.begun++;
				this.attempt(attempt.generated, attempt.retriesLeft, attempt.firstAtMs, stream);
			} else {
				this._resume(attempt, stream);
			}
		});
	}

	private get _nowMs(): number {
		return this._options.simulation.nowMs;
	}

	private _leftMs({generated, firstAtMs}: Attempt<Server>): number {
		return generated.kind.deadlineMs - (this._nowMs - firstAtMs);
	}

	private _watchPatience(attempt: Attempt<Server>): void {
		const {patienceMs} = attempt.generated.kind;
		this._options.simulation.schedule(patienceMs, () => {
			if (attempt.isDone) {
				return;
			}

			if (this._nowMs - attempt.lastEventAtMs >= patienceMs) {
				this.finish(attempt.id, 'left');
				this._options.leave(attempt);
			} else {
				this._watchPatience(attempt);
			}
		});
	}

	private _record({generated: {kind, zone, model, adapter}, firstAtMs}: Pick<Attempt<Server>, 'generated' | 'firstAtMs'>, outcome: OutcomeKind, tookMs = this._nowMs - firstAtMs): void {
		this.outcomes.push({
			kind, zone, needs: neededNames(model, adapter), outcome, arrivedAtMs: firstAtMs - this._options.startMs, tookMs,
		});
	}
}

function neededNames(model: number | undefined, adapter: string | undefined): string[] {
	const name = model === undefined ? undefined : modelName(model);
	return name === undefined ? [] : (adapter === undefined ? [name] : [name, `${name}/${adapter}`]);
}
