/**
Learns how fast each target works against the others of its service. An instance has a
sample of a target about once in ten seconds, so instances exchange what they have
learned in beacons. A sample is the logarithm of the time to the first event by token of
prompt, or of the response time of a plain service; what is common to a queue key (a
model, or a plain service) is learned apart from what is particular to a target.
Merging takes the mean of both values by their weights, and the larger weight: the values
of all instances converge, and no sample counts for more than it is by being passed on.
*/
import {type TargetId} from '../types.js';
import {type AnnouncedSpeed} from './peer-messages.js';
import {slownessOf} from './slowness.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';
import {isListed, type Target} from './target.js';
import {targetsOf} from './targets.js';

/** Samples that an estimate reflects, so that it follows a target that changes. */
const MAX_WEIGHT = 64;
/** The same for what is common to a queue key. */
const MAX_COMMON_SAMPLES = 64;
/** Weight of samples above the estimate; those below it have the rest. */
const LONGER_WEIGHT = 0.25;
/** Single samples vary with the load, so that one far off is counted as this far off. */
const MAX_SAMPLE_ERROR = 0.7;
/** An estimate from few samples is drawn towards the middle of its service as if it had this many more there. */
const PRIOR_WEIGHT = 1;
/** Weight from which a target can show that those of its service differ. With a deviation of 0.7 in single samples, the error is then about 0.1; with half as many samples, alike targets counted as uneven by chance. */
const MIN_SHOWN_WEIGHT = 48;
/** A target at least this far from the middle makes its service uneven; it is even again when all are within the second bound. With 1.4, chance differences in load made alike targets count as uneven. */
const UNEVEN_FROM = Math.log(1.5);
const EVEN_UP_TO = Math.log(1.25);
/** The same target has to differ for so long, and so many targets have to be known well enough to tell where the middle is. */
const UNEVEN_AFTER_MS = 10_000;
const MIN_SHOWN_TARGETS = 6;
const CHECK_INTERVAL_MS = 1000;
/** Estimates are announced from this weight on. In a service that is not uneven, only those that differ from the middle are. */
const MIN_ANNOUNCED_WEIGHT = 3;
const MIN_ANNOUNCED_DEVIATION = 0.15;
const ANNOUNCE_INTERVAL_MS = 900;
const MAX_ANNOUNCED = 8;
/** Changes of an estimate that are not worth announcing. */
const MIN_NEWS = 0.03;

export type TargetSpeed = {
	/** Logarithm of the time that work takes, against the middle of the service. */
	logTime: number;
	/** Number of samples that it rests on, up to a maximum. */
	weight: number;
	/** What was last announced, or heard from a peer. */
	announcedLogTime: number;
	announcedWeight: number;
};

export type TargetSpeeds = {
	/** Logarithm of the time of a unit of work by queue key and whether the target is in this zone, at a target in the middle of its service. */
	readonly common: Map<string, {logMs: number; samples: number}>;
	/** Services whose targets are chosen by their speed. */
	readonly unevenServices: Set<string>;
	/** The target furthest from the middle of a service, while it is far enough, and since when it is. */
	readonly outliers: Map<string, {readonly targetId: TargetId; readonly sinceMs: number}>;
	/** Services with samples since the last check. */
	readonly sampledServices: Set<string>;
	checkedAtMs: number;
	announcedAtMs: number;
};

export function createTargetSpeeds(): TargetSpeeds {
	return {
		common: new Map(), unevenServices: new Set(), outliers: new Map(), sampledServices: new Set(), checkedAtMs: Number.NEGATIVE_INFINITY, announcedAtMs: Number.NEGATIVE_INFINITY,
	};
}

export function createTargetSpeed(): TargetSpeed {
	return {
		logTime: 0, weight: 0, announcedLogTime: 0, announcedWeight: 0,
	};
}

/** Whether the targets of a service are chosen by expected time: they state how slow they are, or are known to differ. */
export function isUneven({mechanisms, targetSpeeds}: EntryState, service: string): boolean {
	return targetSpeeds.unevenServices.has(service) && mechanisms.has('target-speeds');
}

/** Time that work is expected to take at the target now, against the middle of its service. */
export function expectedSlowness(target: Target, nowMs: number): number {
	const {logTime, weight} = target.speed;
	return Math.exp(logTime * weight / (weight + PRIOR_WEIGHT)) * slownessOf(target, nowMs);
}

/** Adds a response that took `ms` for a number of units of work, tokens or responses. Returns how many times longer that is than at a usual target, undefined if it is not compared. */
export function addSpeedSample({state, nowMs}: EntryContext, target: Target, {queueKey, units, ms}: {readonly queueKey: string; readonly units: number; readonly ms: number}): number | undefined {
	const {speed, entry} = target;
	// A target that warms up is slower than it will be.
	if (ms <= 0 || units <= 0 || entry.slowLeftMs > 0) {
		return undefined;
	}

	const {common, sampledServices} = state.targetSpeeds;
	// Targets of other zones are sent requests when those of this zone are busy, so their samples are taken under another load.
	const key = entry.zone === state.self.zone ? queueKey : `${queueKey} elsewhere`;
	const logMs = Math.log(ms / units / slownessOf(target, nowMs));
	const shared = common.get(key) ?? {logMs: logMs - speed.logTime, samples: 0};
	common.set(key, shared);
	const error = weighError(logMs - shared.logMs - speed.logTime);
	shared.samples = Math.min(MAX_COMMON_SAMPLES, shared.samples + 1);
	shared.logMs += error / shared.samples;
	speed.weight = Math.min(MAX_WEIGHT, speed.weight + 1);
	speed.logTime += error / speed.weight;
	sampledServices.add(entry.service);
	return Math.exp(logMs - shared.logMs);
}

/** Weighs errors so that the estimate becomes a low expectile, which waiting for other requests, which only makes times longer, hardly moves. */
function weighError(error: number): number {
	return 2 * Math.max(-MAX_SAMPLE_ERROR, Math.min(MAX_SAMPLE_ERROR, error)) * (error > 0 ? LONGER_WEIGHT : 1 - LONGER_WEIGHT);
}

/** Centers the estimates of services that have new samples, and decides which services are uneven. */
export function checkSpeeds(context: EntryContext): void {
	const {state: {targetSpeeds}, nowMs} = context;
	if (nowMs - targetSpeeds.checkedAtMs < CHECK_INTERVAL_MS || targetSpeeds.sampledServices.size === 0) {
		return;
	}

	targetSpeeds.checkedAtMs = nowMs;
	for (const service of targetSpeeds.sampledServices) {
		checkService(context, service);
	}

	targetSpeeds.sampledServices.clear();
}

function checkService(context: EntryContext, service: string): void {
	const {state, nowMs} = context;
	const {unevenServices} = state.targetSpeeds;
	const targets = targetsOf(state, service).filter(target => isListed(target, nowMs));
	const learned = targets.filter(({speed}) => speed.weight > 0).sort((a, b) => a.speed.logTime - b.speed.logTime);
	const middle = learned[Math.floor(learned.length / 2)]?.speed.logTime ?? 0;
	for (const {speed} of learned) {
		// Instances compare their estimates, so all count from the middle. The next samples correct what is common.
		speed.logTime -= middle;
	}

	const shown = learned.filter(({speed}) => speed.weight >= MIN_SHOWN_WEIGHT);
	const widest = Math.max(0, ...shown.map(({speed: {logTime}}) => Math.abs(logTime)));
	const isStated = targets.some(({slowness}) => slowness !== undefined);
	if (!unevenServices.has(service) && (isStated || isKnownUneven(context, service, shown))) {
		unevenServices.add(service);
		logEvent(context, 'service-uneven', {
			service, isStated, targets: targets.length, learned: learned.length, fastest: factorOf(learned[0]), slowest: factorOf(learned.at(-1)),
		});
	} else if (unevenServices.has(service) && !isStated && shown.length > 0 && widest <= EVEN_UP_TO) {
		unevenServices.delete(service);
		logEvent(context, 'service-even', {
			service, targets: targets.length, fastest: factorOf(learned[0]), slowest: factorOf(learned.at(-1)),
		});
	}
}

/** Whether a target has been far from the middle of its service for long enough. */
function isKnownUneven({state: {targetSpeeds: {outliers}}, nowMs}: EntryContext, service: string, shown: readonly Target[]): boolean {
	const differing = shown.length < MIN_SHOWN_TARGETS ? [] : shown.filter(({speed}) => Math.abs(speed.logTime) >= UNEVEN_FROM);
	const known = outliers.get(service);
	const outlier = differing.find(({id}) => id === known?.targetId) ?? differing[0];
	if (!outlier) {
		outliers.delete(service);
		return false;
	}

	if (known?.targetId !== outlier.id) {
		outliers.set(service, {targetId: outlier.id, sinceMs: nowMs});
		return false;
	}

	return nowMs - known.sinceMs >= UNEVEN_AFTER_MS;
}

function factorOf(target: Target | undefined): number | undefined {
	return target && Math.round(Math.exp(target.speed.logTime) * 100) / 100;
}

/** Estimates that have changed, the most changed first; undefined if there are none. */
export function announcedSpeeds({state, nowMs}: EntryContext): AnnouncedSpeed[] | undefined {
	const {targetSpeeds} = state;
	if (nowMs - targetSpeeds.announcedAtMs < ANNOUNCE_INTERVAL_MS || !state.mechanisms.has('target-speeds')) {
		return undefined;
	}

	const news: Array<{readonly target: Target; readonly size: number}> = [];
	for (const target of state.targets.values()) {
		const {speed, entry} = target;
		const isWorthIt = targetSpeeds.unevenServices.has(entry.service) || Math.abs(speed.logTime) >= MIN_ANNOUNCED_DEVIATION;
		const size = Math.abs(speed.logTime - speed.announcedLogTime) + ((speed.weight - speed.announcedWeight) / MAX_WEIGHT);
		if (speed.weight >= MIN_ANNOUNCED_WEIGHT && isWorthIt && size >= MIN_NEWS && isListed(target, nowMs)) {
			news.push({target, size});
		}
	}

	if (news.length === 0) {
		return undefined;
	}

	targetSpeeds.announcedAtMs = nowMs;
	return news.sort((a, b) => b.size - a.size).slice(0, MAX_ANNOUNCED).map(({target: {id, speed, entry}}) => {
		speed.announcedLogTime = speed.logTime;
		speed.announcedWeight = speed.weight;
		return [id, entry.incarnation, Math.round(speed.logTime * 100), speed.weight];
	});
}

export function adoptSpeeds({state}: EntryContext, announced: readonly AnnouncedSpeed[]): void {
	for (const [targetId, incarnation, logTimeHundredths, peerWeight] of announced) {
		const target = state.targets.get(targetId);
		if (target?.entry.incarnation !== incarnation) {
			continue;
		}

		const {speed} = target;
		const weight = Math.min(MAX_WEIGHT, peerWeight);
		speed.logTime = ((speed.logTime * speed.weight) + (logTimeHundredths / 100 * weight)) / (speed.weight + weight);
		speed.weight = Math.max(speed.weight, weight);
		speed.announcedLogTime = speed.logTime;
		speed.announcedWeight = speed.weight;
		state.targetSpeeds.sampledServices.add(target.entry.service);
	}
}
