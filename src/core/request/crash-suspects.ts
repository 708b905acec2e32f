/**
Finds requests that crash the targets that run them. After a crash, every request whose
connection to the target broke is suspected by its content hash, unless the same content
has run to completion recently. Suspects run isolated from each other, one per target, so
that a second crash has a single culprit; an idle target is reserved for the suspect
alone. Completion clears a suspect; a second crash quarantines its content on every
instance. Prompt prefixes, which requests share that are otherwise not alike, are blamed
beside: a third crash without a completion quarantines all requests with the prefix.
*/
import {logEvent, type Context} from '../context.js';
import {publishFact} from '../peer/facts.js';
import {type InstanceId, type RequestId, type TargetId} from '../types.js';
import {admit} from './admission.js';
import {refuse} from './closing.js';
import {type Fingerprint} from './crash-evidence.js';
import {dispatchTarget} from './dispatch.js';
import {routeTargets} from './selection.js';
import {estimatedLoad, type Target} from './target.js';
import {cancelTry, currentTry, sendTry} from './tries.js';
import {type OpenRequest} from './types.js';

const QUARANTINE_CRASHES = 2;
const QUARANTINE_MS = 60 * 60 * 1000;
const SUSPICION_MS = 10 * 60 * 1000;
const COMPLETION_VALID_MS = 60 * 60 * 1000;

/** Time for a reservation to reach the other instances before the suspect is sent. */
const RESERVATION_PROPAGATION_MS = 20;
const MAX_ISOLATION_MS = 60_000;

export type Suspect = {
	readonly contentHash: string;
	/** Targets that crashed with this content in flight. */
	readonly targets: Set<TargetId>;
	/** Crashes as `target@boot`, which counts a crash once that several instances report. */
	readonly crashes: Set<string>;
	/** Instance that runs the suspect in isolation. */
	tester: InstanceId | undefined;
	/** Request of this instance that is being run in isolation. */
	testing: RequestId | undefined;
	/** Requests of this instance that wait until the suspect is cleared or quarantined. */
	readonly waiting: Set<RequestId>;
	untilMs: number;
};

export function isQuarantined({state, nowMs}: Context, contentHash: string): boolean {
	const untilMs = state.requests.condemned.get(contentHash);
	return untilMs !== undefined && untilMs > nowMs;
}

/** Fingerprint of a prompt's beginning, which requests share that are otherwise not alike; undefined without a prompt. */
function prefixFingerprint({prefixHash}: {readonly prefixHash?: string}): Fingerprint | undefined {
	return prefixHash === undefined ? undefined : `prefix:${prefixHash}`;
}

/** Whether a request has a prompt prefix whose requests crash targets, whatever else they hold. */
export function hasQuarantinedPrefix({state}: Context, request: {readonly prefixHash?: string}): boolean {
	const fingerprint = prefixFingerprint(request);
	return fingerprint !== undefined && state.requests.crashEvidence.culpritOf([fingerprint]) !== undefined;
}

type PrefixCrash = {
	readonly targetId: TargetId;
	readonly boot: string;
	readonly fingerprint: Fingerprint;
};

/** Blames a crash, seen by this instance or a peer, on a prompt prefix that ran there, and refuses its requests once it is at fault. */
export function recordPrefixCrash(context: Context, {targetId, boot, fingerprint}: PrefixCrash): void {
	const {requests} = context.state;
	requests.crashEvidence.expire(context.nowMs);
	const isNew = requests.crashEvidence.add({
		targetId, incarnation: boot, agoMs: 0, suspects: [fingerprint], cleared: [],
	}, context.nowMs) !== undefined;
	if (!isNew || requests.crashEvidence.culpritOf([fingerprint]) === undefined) {
		return;
	}

	logEvent(context, 'request-crash-refused', {fingerprint});
	refuseOpen(context, request => prefixFingerprint(request) === fingerprint);
}

/** Clears the prompt prefix of a request that ran to completion, here and at peers. */
export function clearPrefix(context: Context, request: OpenRequest): void {
	const fingerprint = prefixFingerprint(request);
	if (fingerprint === undefined) {
		return;
	}

	const {requests} = context.state;
	requests.innocent.set(fingerprint, context.nowMs);
	if (requests.crashEvidence.clear(fingerprint).length > 0) {
		publishFact(context, `cleared/${fingerprint}`, {kind: 'cleared', contentHash: fingerprint});
	}
}

/** Refuses the open requests that must not run any more. A try of work that runs at most once continues; its end settles the claim. */
function refuseOpen(context: Context, isAffected: (request: OpenRequest) => boolean): void {
	for (const request of context.state.requests.open.values()) {
		const isRunningOnce = request.repeat === 'once' && currentTry(request) !== undefined;
		if (isAffected(request) && request.phase !== 'detached' && !isRunningOnce) {
			cancelTry(context, request);
			refuse(context, request, {code: 'crash-refused'});
		}
	}
}

/** Holds a request if its content is a crash suspect. Returns whether it is. */
export function holdIfSuspect(context: Context, request: OpenRequest): boolean {
	const suspect = context.state.requests.suspects.get(request.contentHash);
	if (!suspect) {
		return false;
	}

	request.phase = 'isolating';
	suspect.waiting.add(request.id);
	startIsolation(context, suspect);
	return true;
}

/** Records and publishes the crash of a target with these requests in flight, and holds those that may be repeated. */
export function handleTargetCrash(context: Context, target: Target, requests: readonly OpenRequest[]): void {
	const hashes = new Set(requests.map(({contentHash}) => contentHash));
	for (const contentHash of hashes) {
		if (!hasCompleted(context, contentHash)) {
			publishFact(context, `suspected/${contentHash}`, {
				kind: 'suspected', contentHash, targetId: target.id, boot: target.boot,
			});
			recordCrash(context, {
				contentHash, targetId: target.id, boot: target.boot, tester: context.state.self.id,
			});
		}
	}

	for (const fingerprint of new Set(requests.map(request => prefixFingerprint(request)))) {
		if (fingerprint !== undefined && !hasCompleted(context, fingerprint)) {
			const crash = {targetId: target.id, boot: target.boot, fingerprint};
			publishFact(context, `crashed/${target.id}@${target.boot}/${fingerprint}`, {kind: 'crashed', ...crash});
			recordPrefixCrash(context, crash);
		}
	}

	for (const request of requests) {
		if (request.repeat === 'idempotent' && request.phase === 'verifying') {
			holdIfSuspect(context, request);
		}
	}
}

type CrashRecord = {
	readonly contentHash: string;
	readonly targetId: TargetId;
	/** Boot id of the target when it crashed. */
	readonly boot: string;
	readonly tester: InstanceId;
};

/** Adds a crash, seen by this instance or a peer, to a content hash, and quarantines it after the second one. */
export function recordCrash(context: Context, {contentHash, targetId, boot, tester}: CrashRecord): void {
	const {suspects} = context.state.requests;
	let suspect = suspects.get(contentHash);
	if (!suspect) {
		suspect = {
			contentHash,
			targets: new Set(),
			crashes: new Set(),
			tester: undefined,
			testing: undefined,
			waiting: new Set(),
			untilMs: context.nowMs + SUSPICION_MS,
		};
		suspects.set(contentHash, suspect);
	}

	suspect.targets.add(targetId);
	suspect.crashes.add(`${targetId}@${boot}`);
	suspect.tester ??= tester;
	if (suspect.crashes.size >= QUARANTINE_CRASHES) {
		quarantineContent(context, contentHash);
		publishFact(context, `condemned/${contentHash}`, {kind: 'condemned', contentHash});
	}
}

/** Refuses this content from now on, and closes its open requests. */
export function quarantineContent(context: Context, contentHash: string): void {
	const {requests} = context.state;
	if (isQuarantined(context, contentHash)) {
		return;
	}

	requests.condemned.set(contentHash, context.nowMs + QUARANTINE_MS);
	logEvent(context, 'request-crash-refused', {contentHash});
	removeSuspect(context, contentHash);
	refuseOpen(context, request => request.contentHash === contentHash);
}

/** Clears content that ran to completion, here and at peers, and admits the requests held for it. */
export function clearSuspect(context: Context, contentHash: string): void {
	if (!context.state.requests.suspects.has(contentHash)) {
		return;
	}

	publishFact(context, `cleared/${contentHash}`, {kind: 'cleared', contentHash});
	admitCleared(context, contentHash);
}

export function admitCleared(context: Context, contentHash: string): void {
	for (const request of removeSuspect(context, contentHash)) {
		admit(context, request);
	}
}

/** Publishes that suspected content is cleared if it has completed here. Returns whether it has. */
export function publishIfCleared(context: Context, contentHash: string): boolean {
	if (!hasCompleted(context, contentHash)) {
		return false;
	}

	publishFact(context, `cleared/${contentHash}`, {kind: 'cleared', contentHash});
	return true;
}

function hasCompleted({state, nowMs}: Context, contentHash: string): boolean {
	const completedAtMs = state.requests.innocent.get(contentHash);
	return completedAtMs !== undefined && nowMs - completedAtMs < COMPLETION_VALID_MS;
}

function removeSuspect(context: Context, contentHash: string): OpenRequest[] {
	const {requests, targets} = context.state;
	const suspect = requests.suspects.get(contentHash);
	requests.suspects.delete(contentHash);
	for (const targetId of suspect?.targets ?? []) {
		const target = targets.get(targetId);
		if (target?.isolation?.contentHash === contentHash && target.isolation.requestId === undefined) {
			target.isolation = undefined;
		}
	}

	return [...suspect?.waiting ?? []]
		.map(id => requests.open.get(id))
		.filter(request => request !== undefined)
		.filter(request => request.phase === 'isolating' || request.phase === 'verifying');
}

/** Reserves a target for the suspect's next request, unless one is being tested or another instance is the tester. */
function startIsolation(context: Context, suspect: Suspect): void {
	const {state, nowMs} = context;
	if (suspect.testing !== undefined || (suspect.tester !== undefined && suspect.tester !== state.self.id)) {
		return;
	}

	const request = firstWaitingRequest(context, suspect);
	const target = request && selectIsolationTarget(context, suspect, request);
	if (!request || !target) {
		return;
	}

	suspect.testing = request.id;
	suspect.tester = state.self.id;
	target.isolation = {
		isExclusive: estimatedLoad(target) === 0,
		contentHash: suspect.contentHash,
		by: state.self.id,
		requestId: request.id,
		sinceMs: nowMs,
		untilMs: nowMs + MAX_ISOLATION_MS,
	};
	publishIsolation(context, target, suspect.contentHash);
	state.timers.set(nowMs + RESERVATION_PROPAGATION_MS, {kind: 'isolation', targetId: target.id});
}

/** Publishes which suspect a target is reserved for; an empty hash ends the reservation. */
function publishIsolation(context: Context, target: Target, contentHash: string): void {
	publishFact(context, `isolated/${target.id}`, {
		kind: 'isolated',
		targetId: target.id,
		contentHash,
		isExclusive: target.isolation?.isExclusive ?? false,
	});
}

function firstWaitingRequest({state}: Context, suspect: Suspect): OpenRequest | undefined {
	for (const id of suspect.waiting) {
		const request = state.requests.open.get(id);
		if (request?.phase === 'isolating') {
			return request;
		}

		suspect.waiting.delete(id);
	}

	return undefined;
}

/** The least loaded target without a reservation, preferably one that has not crashed with this content. */
function selectIsolationTarget({state}: Context, suspect: Suspect, request: OpenRequest): Target | undefined {
	const usable = routeTargets(state, request)
		.map(id => state.targets.get(id))
		.filter(target => target !== undefined)
		.filter(target => target.health !== 'down' && !target.leaving && target.isolation === undefined);
	const others = usable.filter(target => !suspect.targets.has(target.id));
	return (others.length > 0 ? others : usable)
		.toSorted((a, b) => estimatedLoad(a) - estimatedLoad(b))
		.at(0);
}

/** Sends the isolated request once its reservation has had time to reach the other instances. */
export function sendIsolated(context: Context, target: Target): void {
	const {state, nowMs} = context;
	const {isolation} = target;
	const request = isolation?.requestId === undefined ? undefined : state.requests.open.get(isolation.requestId);
	if (!isolation || request?.phase !== 'isolating' || nowMs - isolation.sinceMs < RESERVATION_PROPAGATION_MS) {
		return;
	}

	sendTry(context, request, target, {kind: 'whole'});
}

/** Ends the reservation of a target whose isolated try ended, so that it may run another suspect. */
export function endIsolation(context: Context, target: Target | undefined, request: OpenRequest): void {
	if (target?.isolation?.requestId !== request.id) {
		return;
	}

	target.isolation = undefined;
	publishIsolation(context, target, '');
	const suspect = context.state.requests.suspects.get(request.contentHash);
	if (suspect?.testing === request.id) {
		suspect.testing = undefined;
		suspect.waiting.delete(request.id);
	}

	startWaitingSuspects(context);
}

/** Tries to reserve targets for suspects that found none before. */
function startWaitingSuspects(context: Context): void {
	for (const suspect of context.state.requests.suspects.values()) {
		if (suspect.waiting.size > 0) {
			startIsolation(context, suspect);
		}
	}
}

type PeerIsolation = {
	readonly by: InstanceId;
	readonly contentHash: string;
	readonly isExclusive: boolean;
};

/**
Applies a peer's reservation of a target, or the end of one. The peer's fact has
superseded any of this instance for the same target: a suspect of this instance that was
not sent yet looks for another target, one that is running keeps its own.
*/
export function applyPeerIsolation(context: Context, target: Target, {by, contentHash, isExclusive}: PeerIsolation): void {
	const ownRequestId = target.isolation?.requestId;
	const request = ownRequestId === undefined ? undefined : context.state.requests.open.get(ownRequestId);
	if (request?.phase === 'running') {
		return;
	}

	target.isolation = contentHash === ''
		? undefined
		: {
			isExclusive,
			contentHash,
			by,
			requestId: undefined,
			sinceMs: context.nowMs,
			untilMs: context.nowMs + MAX_ISOLATION_MS,
		};
	const suspect = request && context.state.requests.suspects.get(request.contentHash);
	if (suspect && suspect.testing === ownRequestId) {
		suspect.testing = undefined;
	}

	startWaitingSuspects(context);
}

/**
Ends expired reservations and suspicions, reassigns suspects whose tester is gone or took
too long, and starts those that wait.
*/
export function expireSuspects(context: Context): void {
	const {requests, targets, self} = context.state;
	for (const target of targets.values()) {
		const {isolation} = target;
		if (!isolation) {
			continue;
		}

		const ownRequest = isolation.requestId === undefined ? undefined : requests.open.get(isolation.requestId);
		const isIdle = isolation.by === self.id ? ownRequest === undefined : isolation.untilMs <= context.nowMs;
		if (isIdle) {
			target.isolation = undefined;
			dispatchTarget(context, target);
		} else {
			sendIsolated(context, target);
		}
	}

	for (const suspect of requests.suspects.values()) {
		if (suspect.untilMs <= context.nowMs) {
			admitCleared(context, suspect.contentHash);
			continue;
		}

		if (suspect.testing !== undefined && !requests.open.has(suspect.testing)) {
			suspect.testing = undefined;
		}

		const isTesterGone = suspect.tester !== undefined && suspect.tester !== self.id && !context.state.membership.isLive(suspect.tester);
		if (isTesterGone || (suspect.waiting.size > 0 && suspect.untilMs - context.nowMs < SUSPICION_MS - MAX_ISOLATION_MS)) {
			suspect.tester = undefined;
		}

		startIsolation(context, suspect);
	}
}
