/**
How old the configuration held here may be at most, where withdrawn API keys must not be
accepted for longer than a stated time. The age counts from the sending of the read that
confirmed the version as the newest, or from the time by the store's clock that a peer has
confirmed. A process that was suspended may find that its monotonic clock stood still, and
the time of day may step; a confirmation therefore records both, and the larger age counts.
*/
import {type Beacon} from './peer-messages.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';

/** Between two readings of the clocks a busy machine may pause the process for some tens of milliseconds. */
const CLOCK_STEP_MS = 200;
/** Covers what the clocks may differ without counting as a step, their drift, and the time to send a request. */
const MARGIN_MS = 300;
/** Clocks drift apart by some 0.1 ms a second at most, so that the offset stays within a fifth of the margin. */
const OFFSET_VALID_MS = 600_000;
const OWN_READ_INTERVAL_MS = 1000;
/** An answer that takes longer shows the store's clock too roughly to replace an offset that is known. */
const PROMPT_ANSWER_MS = 250;

export type ConfigurationAge = {
	/** Time of day minus the monotonic clock, as of the last step. */
	clockDifferenceMs: number | undefined;
	/** Time for which the monotonic clock may have stood still. Added to that clock, it gives one that is never late. */
	stoodStillMs: number;
	/** When the difference of the clocks last changed. */
	steppedAtMs: number;
	/** The corrected clock minus the store's clock, at most; undefined until this instance's next read. */
	storeOffset: {readonly ms: number; readonly learnedAtMs: number} | undefined;
	confirmation: Confirmation | undefined;
	/** When a read for the offset alone was last sent. */
	readSentAtMs: number;
	/** Whether it is logged that requests with a key are not served. */
	isOutdated: boolean;
};

type Clocks = Pick<EntryContext, 'state' | 'nowMs' | 'wallMs'>;

/** No version newer than the one held was acknowledged before this time. */
type Confirmation = {
	/** By the monotonic clock with the time for which it stood still. */
	readonly correctedMs: number;
	readonly wallMs: number;
	readonly asOfStoreMs: number;
};

export function createConfigurationAge(): ConfigurationAge {
	return {
		clockDifferenceMs: undefined,
		stoodStillMs: 0,
		steppedAtMs: Number.NEGATIVE_INFINITY,
		storeOffset: undefined,
		confirmation: undefined,
		readSentAtMs: Number.NEGATIVE_INFINITY,
		isOutdated: false,
	};
}

/** Whether withdrawn keys must be refused in time by instances that are out of touch with the store as well. */
export function isAgeBounded({bounds}: EntryState): boolean {
	return bounds.revocation?.isStrict === true;
}

/** Called before each event is handled. */
export function watchClocks(context: EntryContext): void {
	const {state, nowMs, wallMs} = context;
	if (!isAgeBounded(state)) {
		return;
	}

	const {configurationAge} = state;
	const differenceMs = wallMs - nowMs;
	configurationAge.clockDifferenceMs ??= differenceMs;
	const stepMs = differenceMs - configurationAge.clockDifferenceMs;
	if (Math.abs(stepMs) <= CLOCK_STEP_MS) {
		return;
	}

	configurationAge.clockDifferenceMs = differenceMs;
	// A suspension and a step forward look the same. A later step back must not hide a suspension.
	configurationAge.stoodStillMs += Math.max(0, stepMs);
	configurationAge.steppedAtMs = nowMs;
	configurationAge.storeOffset = undefined;
	logEvent(context, 'clock-stepped', {stepMs: Math.round(stepMs), configurationAgeMs: roundedAgeMs(context)});
}

/** A read of this instance that the store has answered. */
type AnsweredRead = {
	readonly sentAtMs: number;
	readonly sentAtWallMs?: number;
	readonly storeMs: number;
};

/** Whether the clocks stepped while a read was on its way. Such a read shows nothing, since it is not known on which side of the step it was answered. */
function isOvertaken({clockDifferenceMs = 0, steppedAtMs}: ConfigurationAge, {sentAtMs, sentAtWallMs}: AnsweredRead): boolean {
	return sentAtWallMs === undefined
		? sentAtMs <= steppedAtMs
		: sentAtMs < steppedAtMs || Math.abs(sentAtWallMs - sentAtMs - clockDifferenceMs) > CLOCK_STEP_MS;
}

/** Records what this instance's own read shows. */
export function confirmByRead(context: EntryContext, read: AnsweredRead): void {
	const {state: {configurationAge}, nowMs, wallMs} = context;
	learnStoreClock(context, read);
	if (isOvertaken(configurationAge, read)) {
		return;
	}

	const {sentAtMs, sentAtWallMs, storeMs} = read;
	const tookMs = nowMs - sentAtMs;
	confirm(context, {
		correctedMs: sentAtMs + configurationAge.stoodStillMs, wallMs: sentAtWallMs ?? wallMs - tookMs, asOfStoreMs: storeMs - tookMs,
	});
}

/** Records what a peer states. A time by the store's clock gets no younger by being passed on. */
export function confirmByPeer(context: EntryContext, {configurationVersion, configurationAsOfStoreMs = 0}: Beacon): void {
	const {state: {configuration, configurationAge}, wallMs} = context;
	const {storeOffset} = configurationAge;
	if (!storeOffset || configurationAsOfStoreMs <= 0 || !configuration || configurationVersion > configuration.version) {
		return;
	}

	const correctedMs = configurationAsOfStoreMs + storeOffset.ms;
	const ageMs = correctedNowMs(context) - correctedMs;
	if (ageMs < 0) {
		// The store's clock has begun anew, or this instance's clocks both stood still.
		configurationAge.storeOffset = undefined;
		return;
	}

	confirm(context, {correctedMs, wallMs: wallMs - ageMs, asOfStoreMs: configurationAsOfStoreMs});
}

function confirm({state: {configurationAge}}: EntryContext, confirmation: Confirmation): void {
	if (!configurationAge.confirmation || confirmation.correctedMs > configurationAge.confirmation.correctedMs) {
		configurationAge.confirmation = confirmation;
	}
}

/** Learns the offset to the store's clock from a read of this instance. */
export function learnStoreClock(context: EntryContext, read: AnsweredRead): void {
	const {state: {configurationAge}, nowMs} = context;
	if (isOvertaken(configurationAge, read)) {
		return;
	}

	const {storeOffset, stoodStillMs} = configurationAge;
	const {sentAtMs, storeMs} = read;
	// The store read its clock between the sending and now. The lower bound never makes a confirmation look younger than it is.
	const lowestMs = sentAtMs + stoodStillMs - storeMs;
	const highestMs = nowMs + stoodStillMs - storeMs;
	configurationAge.storeOffset = !storeOffset || nowMs - sentAtMs <= PROMPT_ANSWER_MS ? {ms: lowestMs, learnedAtMs: nowMs} : {...storeOffset, ms: Math.min(highestMs, Math.max(lowestMs, storeOffset.ms))};
}

/** Whether this instance has to read the store itself, since it cannot use what peers confirm. */
export function needsOwnRead({state: {configurationAge, workspaces}, nowMs}: EntryContext): boolean {
	const {storeOffset, readSentAtMs} = configurationAge;
	const isKnown = storeOffset !== undefined && nowMs - storeOffset.learnedAtMs < OFFSET_VALID_MS;
	return workspaces !== undefined && !isKnown && nowMs - readSentAtMs >= OWN_READ_INTERVAL_MS;
}

/** The longest time for which a newer version may have been in the store. */
export function configurationAgeMs(context: Clocks): number {
	const {confirmation} = context.state.configurationAge;
	return confirmation ? Math.max(correctedNowMs(context) - confirmation.correctedMs, context.wallMs - confirmation.wallMs) : Number.POSITIVE_INFINITY;
}

/** For log lines; undefined where the age has no bound. */
export function roundedAgeMs(context: EntryContext): number | undefined {
	const ageMs = isAgeBounded(context.state) ? configurationAgeMs(context) : Number.POSITIVE_INFINITY;
	return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Whether a key of the version held may have been withdrawn for longer than is allowed. */
export function isConfigurationOutdated(context: EntryContext): boolean {
	const {bounds: {revocation}} = context.state;
	return revocation !== undefined && isAgeBounded(context.state) && configurationAgeMs(context) >= revocation.withinMs - MARGIN_MS;
}

/** Logs when requests with a key are no longer served here, and when they are again. */
export function watchConfigurationAge(context: EntryContext): void {
	const {configurationAge, workspaces, configuration} = context.state;
	const isOutdated = workspaces !== undefined && isConfigurationOutdated(context);
	if (isOutdated === configurationAge.isOutdated) {
		return;
	}

	configurationAge.isOutdated = isOutdated;
	logEvent(context, isOutdated ? 'configuration-outdated' : 'configuration-current', {
		version: configuration?.version, ageMs: roundedAgeMs(context), isOffsetKnown: configurationAge.storeOffset !== undefined,
	});
}

function correctedNowMs({state: {configurationAge}, nowMs}: Clocks): number {
	return nowMs + configurationAge.stoodStillMs;
}
