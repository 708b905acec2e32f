/**
Evidence of what crashes targets. It is a set of observed crashes, each with the
fingerprints of the requests that ran there: their content, and the parts of their
prompts that other requests share. A fingerprint that an answer has survived with is
cleared of the crashes before. Sets of several instances are joined by union, so that
crashes which instances saw one each add up and none counts twice; a digest tells whether
two sets are equal.

A crash says only that something that ran there may be at fault. Requests that crash
targets share most of what they have with sound ones, so a request is refused only if it
brings everything that would explain its crashes.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {type TargetId} from '../types.js';

/** What a request has in common with others: its content, or a part of its prompt. */
export type Fingerprint = string;

/** A crash as instances tell each other of it. */
export type CrashRecord = {
	readonly targetId: TargetId;
	/** Incarnation or boot id of the target that went down. */
	readonly incarnation: number | string;
	/** Time since the crash was first noticed. */
	readonly agoMs: number;
	/** Fingerprints of the requests that ran there. */
	readonly suspects: readonly Fingerprint[];
	/** Those of them that an answer has survived with since, or shortly before. */
	readonly cleared: readonly Fingerprint[];
};

type Crash = {
	readonly targetId: TargetId;
	readonly incarnation: number | string;
	noticedAtMs: number;
	readonly suspects: Set<Fingerprint>;
	readonly cleared: Set<Fingerprint>;
};

/** Crashes of one fingerprint at which it is at fault. The deployment tolerates the loss of so many targets to one cause. */
export const QUARANTINE_CRASHES = 3;
/** After the crash that puts a fingerprint at fault, others come from requests that were sent before all instances knew of it. */
const SPREAD_MS = 3000;
/** Time without a crash after which a fingerprint at fault may be tried again, and the factor by which each crash of such a trial prolongs it. */
const TRIAL_INTERVAL_MS = 15_000;
const TRIAL_BACKOFF_FACTOR = 4;
/** Time for which a crash counts. A cause that is still there is found again at the cost of as many crashes. */
const CRASH_VALID_MS = 60 * 60 * 1000;
/** The oldest crashes are forgotten beyond this. */
const MAX_CRASHES = 64;
/** Requests that run at a target of common size, with a few parts each. */
const MAX_SUSPECTS = 256;
const DIGEST_MODULUS = 2 ** 32;

export class CrashEvidence {
	private readonly _crashes = new Map<string, Crash>();
	/** The crashes that each fingerprint is blamed for: suspected and not cleared. */
	private readonly _blamed = new Map<Fingerprint, Set<Crash>>();
	private _digest = 0;

	/** Number of known crashes. */
	get size(): number {
		return this._crashes.size;
	}

	/** Equal for equal sets; 0 if no crash is known. */
	get digest(): number {
		return this._digest;
	}

	/** Adds what a record tells beyond what is known. Returns the key of its crash if there is anything new. */
	add({targetId, incarnation, agoMs, suspects, cleared}: CrashRecord, nowMs: number): string | undefined {
		const noticedAtMs = nowMs - agoMs;
		if (agoMs >= CRASH_VALID_MS || (suspects.length === 0 && cleared.length === 0)) {
			return undefined;
		}

		const key = `${targetId}@${incarnation}`;
		const crash = this._crashes.get(key) ?? {
			targetId, incarnation, noticedAtMs, suspects: new Set(), cleared: new Set(),
		};
		crash.noticedAtMs = Math.min(crash.noticedAtMs, noticedAtMs);
		const digest = this._digest;
		this._crashes.set(key, crash);
		for (const fingerprint of suspects) {
			this._suspect(crash, key, fingerprint);
		}

		for (const fingerprint of cleared) {
			this._clear(crash, key, fingerprint);
		}

		this._forgetOldest();
		return this._digest === digest ? undefined : key;
	}

	/** Clears a fingerprint of all known crashes. Returns the keys of those that it was blamed for. */
	clear(fingerprint: Fingerprint): string[] {
		const keys = [...this._blamed.get(fingerprint) ?? []].map(({targetId, incarnation}) => `${targetId}@${incarnation}`);
		for (const key of keys) {
			this._clear(this._crashes.get(key)!, key, fingerprint);
		}

		return keys;
	}

	/** Number of crashes that a fingerprint is blamed for. */
	blame(fingerprint: Fingerprint): number {
		return this._blamed.get(fingerprint)?.size ?? 0;
	}

	/**
	The fingerprint of a request that is at fault: it is blamed for enough crashes, and no fingerprint that the request
	lacks explains all of them as well. Undefined if there is none.
	*/
	culpritOf(fingerprints: readonly Fingerprint[]): Fingerprint | undefined {
		return fingerprints.find(fingerprint => {
			const crashes = this._blamed.get(fingerprint);
			return crashes !== undefined && crashes.size >= QUARANTINE_CRASHES && !this._isExplainedByOther(crashes, fingerprints);
		});
	}

	/** Time at which a fingerprint is no longer blamed for enough crashes. */
	blamedUntilMs(fingerprint: Fingerprint): number {
		const times = [...this._blamed.get(fingerprint) ?? []].map(({noticedAtMs}) => noticedAtMs).toSorted((a, b) => b - a);
		return (times[QUARANTINE_CRASHES - 1] ?? Number.NEGATIVE_INFINITY) + CRASH_VALID_MS;
	}

	/**
	Time from which one request with a fingerprint at fault may be sent, to learn whether it still crashes targets. Crashes of
	the whole service for another reason can put a fingerprint at fault that nearly all requests bring.
	*/
	trialDueMs(fingerprint: Fingerprint): number {
		const times = [...this._blamed.get(fingerprint) ?? []].map(({noticedAtMs}) => noticedAtMs).toSorted((a, b) => a - b);
		const spreadUntilMs = (times[QUARANTINE_CRASHES - 1] ?? 0) + SPREAD_MS;
		const failedTrials = times.filter(timeMs => timeMs > spreadUntilMs).length;
		return (times.at(-1) ?? 0) + (TRIAL_INTERVAL_MS * (TRIAL_BACKOFF_FACTOR ** failedTrials));
	}

	/** The known crashes, or those of the given keys, for another instance. */
	records(nowMs: number, keys: Iterable<string> = this._crashes.keys()): CrashRecord[] {
		return [...keys].map(key => this._crashes.get(key)).filter(crash => crash !== undefined).map(({targetId, incarnation, noticedAtMs, suspects, cleared}) => ({
			targetId, incarnation, agoMs: Math.round(nowMs - noticedAtMs), suspects: [...suspects], cleared: [...cleared],
		}));
	}

	expire(nowMs: number): void {
		for (const [key, {noticedAtMs}] of this._crashes) {
			if (nowMs - noticedAtMs >= CRASH_VALID_MS) {
				this._forget(key);
			}
		}
	}

	toJSON(): unknown {
		return [...this._crashes].map(([key, {suspects, cleared}]) => ({crash: key, blamed: [...suspects].filter(fingerprint => !cleared.has(fingerprint))}));
	}

	private _isExplainedByOther(crashes: ReadonlySet<Crash>, fingerprints: readonly Fingerprint[]): boolean {
		const [first] = crashes;
		return [...first!.suspects].some(other => !fingerprints.includes(other) && isSuperset(this._blamed.get(other), crashes));
	}

	private _suspect(crash: Crash, key: string, fingerprint: Fingerprint): void {
		if (crash.suspects.has(fingerprint) || crash.suspects.size >= MAX_SUSPECTS) {
			return;
		}

		crash.suspects.add(fingerprint);
		this._updateDigest(key, fingerprint, 'suspected', 1);
		if (!crash.cleared.has(fingerprint)) {
			const blamed = this._blamed.get(fingerprint) ?? new Set();
			this._blamed.set(fingerprint, blamed.add(crash));
		}
	}

	private _clear(crash: Crash, key: string, fingerprint: Fingerprint): void {
		if (crash.cleared.has(fingerprint) || crash.cleared.size >= MAX_SUSPECTS) {
			return;
		}

		crash.cleared.add(fingerprint);
		this._updateDigest(key, fingerprint, 'cleared', 1);
		this._unblame(crash, fingerprint);
	}

	private _unblame(crash: Crash, fingerprint: Fingerprint): void {
		const blamed = this._blamed.get(fingerprint);
		blamed?.delete(crash);
		if (blamed?.size === 0) {
			this._blamed.delete(fingerprint);
		}
	}

	/** All instances forget the same ones, so that none tells the others of them again. */
	private _forgetOldest(): void {
		while (this._crashes.size > MAX_CRASHES) {
			const [oldest] = [...this._crashes].toSorted(([keyA, a], [keyB, b]) => a.noticedAtMs - b.noticedAtMs || (keyA < keyB ? -1 : 1));
			this._forget(oldest![0]);
		}
	}

	private _forget(key: string): void {
		const crash = this._crashes.get(key)!;
		this._crashes.delete(key);
		for (const fingerprint of crash.suspects) {
			this._unblame(crash, fingerprint);
			this._updateDigest(key, fingerprint, 'suspected', -1);
		}

		for (const fingerprint of crash.cleared) {
			this._updateDigest(key, fingerprint, 'cleared', -1);
		}
	}

	private _updateDigest(key: string, fingerprint: Fingerprint, verdict: 'suspected' | 'cleared', sign: 1 | -1): void {
		const hash = Number(fnv1a(`${key} ${fingerprint} ${verdict}`, {size: 32}));
		this._digest = (this._digest + (sign * hash) + DIGEST_MODULUS) % DIGEST_MODULUS;
	}
}

function isSuperset(set: ReadonlySet<Crash> | undefined, other: ReadonlySet<Crash>): boolean {
	return set !== undefined && set.size >= other.size && [...other].every(crash => set.has(crash));
}
