/**
Settlements: the final state of a claim that is to be written to the table. Callers do
not wait for the write. While the table is unreachable, peers keep replicas, so that the
loss of one instance neither loses an answer nor leaves a released key blocked. The write
is idempotent, also when several instances perform it.
*/
import {jitter, logEvent, type Context} from '../context.js';
import {type EventOf, type Settlement} from '../event.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row} from '../table.js';
import {claimExpiryMs, resumeJoiners} from './claims.js';
import {refuse, replay} from './closing.js';
import {type OpenSettlement} from './state.js';
import {type ClaimRow, type OpenRequest, type RecordedAnswer} from './types.js';

const RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 10_000;

/** Peers that keep a replica of a settlement while the table is unreachable. */
const REPLICAS = 2;

/** Settles a claim whose run ended with a complete response, and replays that response to joined requests. */
export function settleDone(context: Context, request: OpenRequest, answer: RecordedAnswer): void {
	settle(context, request, 'done', answer);
	for (const joiner of takeJoiners(context, request)) {
		replay(context, joiner, answer);
	}
}

/** Settles a claim whose work may have run with an outcome that can no longer be known. */
export function settleUnknown(context: Context, request: OpenRequest): void {
	settle(context, request, 'unknown');
	for (const joiner of takeJoiners(context, request)) {
		refuse(context, joiner, {code: 'outcome-unknown', ran: 'unknown'});
	}
}

/** Releases a claim for which nothing was sent and nothing will be, so that a repetition may run. */
export function releaseClaim(context: Context, request: OpenRequest): void {
	const {claim} = request;
	const {localClaims} = context.state.requests;
	const localClaim = claim && localClaims.get(claim.key);
	if (!claim || localClaim?.holder !== request.id) {
		return;
	}

	localClaims.delete(claim.key);
	// If no write can have taken effect, there is no row to release.
	if (claim.revision > 0 || claim.ambiguous || claim.inserting) {
		settle(context, request, 'released');
		logEvent(context, 'claim-released', {requestId: request.id});
	}

	resumeJoiners(context, localClaim.joiners);
}

function takeJoiners(context: Context, request: OpenRequest): OpenRequest[] {
	const {requests} = context.state;
	const key = request.claim?.key ?? '';
	const localClaim = requests.localClaims.get(key);
	if (localClaim?.holder !== request.id) {
		return [];
	}

	requests.localClaims.delete(key);
	return [...localClaim.joiners]
		.map(id => requests.open.get(id))
		.filter(joiner => joiner?.phase === 'joining')
		.filter(joiner => joiner !== undefined);
}

function settle(context: Context, request: OpenRequest, state: Settlement['state'], answer?: RecordedAnswer): void {
	const {claim} = request;
	if (!claim) {
		return;
	}

	startSettlement(context, {
		claimKey: claim.key,
		token: claim.token,
		state,
		bodyHash: request.contentHash,
		claimant: context.state.self.id,
		answer,
		expiresAtMs: claimExpiryMs(context, request),
	}, claim.revision);
}

/** Starts writing a settlement, either of this instance or held for a peer. */
export function startSettlement(context: Context, settlement: Settlement, revision = 0): void {
	const {settlements} = context.state.requests;
	if (settlements.has(settlement.token)) {
		return;
	}

	settlements.set(settlement.token, {
		settlement, revision, retries: 0, heldBy: new Set(),
	});
	if (revision > 0) {
		writeSettlement(context, settlement, revision);
	} else {
		readSettlement(context, settlement);
	}
}

function readSettlement(context: Context, settlement: Settlement): void {
	startTableOperation(context, {kind: 'read', keys: [settlement.claimKey]}, {kind: 'settle-read', settlement});
}

function writeSettlement(context: Context, settlement: Settlement, revision: number): void {
	const value: ClaimRow = {
		token: settlement.token,
		claimant: settlement.claimant,
		claimantBoot: '',
		bodyHash: settlement.bodyHash,
		state: settlement.state,
		answer: settlement.answer,
	};
	startTableOperation(context, {
		kind: 'write',
		conditions: [{key: settlement.claimKey, revision}],
		puts: [{key: settlement.claimKey, value, expiresAtMs: settlement.expiresAtMs}],
	}, {kind: 'settle-write', settlement});
}

export function handleSettleRead(context: Context, step: TableStepOf<'settle-read'>, event: EventOf<'table-answered'>): void {
	const {answer} = event;
	if (answer.kind === 'rows') {
		settleByRow(context, step.settlement, answer.rows[0]);
	} else {
		scheduleRetry(context, step.settlement);
	}
}

export function handleSettleWrite(context: Context, step: TableStepOf<'settle-write'>, event: EventOf<'table-answered'>): void {
	const {answer} = event;
	switch (answer.kind) {
		case 'written': {
			finishSettlement(context, step.settlement);
			break;
		}

		case 'conflict': {
			settleByRow(context, step.settlement, answer.rows[0]);
			break;
		}

		default: {
			scheduleRetry(context, step.settlement);
		}
	}
}

/**
Decides from the current row whether the settlement must still be written. A delayed
insert of the claim may be pending against an absent row or one that another request
released. A release overwrites both, so that the delayed write fails its revision check.
*/
function settleByRow(context: Context, settlement: Settlement, row: Row | undefined): void {
	const value = row?.value as ClaimRow | undefined;
	if (!row || row.revision === 0 || !value) {
		writeSettlement(context, settlement, 0);
	} else if (canOverwrite(settlement, value)) {
		writeSettlement(context, settlement, row.revision);
	} else {
		finishSettlement(context, settlement);
	}
}

function canOverwrite(settlement: Settlement, value: ClaimRow): boolean {
	return value.token === settlement.token
		? value.state === 'open'
		: value.state === 'released' && settlement.state === 'released';
}

function finishSettlement(context: Context, settlement: Settlement): void {
	context.state.requests.settlements.delete(settlement.token);
}

function scheduleRetry(context: Context, settlement: Settlement): void {
	const pending = context.state.requests.settlements.get(settlement.token);
	if (!pending) {
		return;
	}

	pending.retries++;
	if (pending.retries === 1) {
		logEvent(context, 'record-deferred', {claimKey: settlement.claimKey, state: settlement.state});
	}

	replicateSettlement(context, pending);
	const delayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * (2 ** Math.min(pending.retries, 10)));
	context.state.timers.set(context.nowMs + jitter(context, delayMs), {
		kind: 'settle-retry',
		claimKey: settlement.claimKey,
		token: settlement.token,
	});
}

/** Asks peers to keep replicas of a settlement of this instance until there are enough. */
export function replicateSettlement(context: Context, pending: OpenSettlement): void {
	const {settlement} = pending;
	if (settlement.claimant !== context.state.self.id || pending.heldBy.size >= REPLICAS) {
		return;
	}

	const peers = context.state.membership.pickPeers(context, REPLICAS - pending.heldBy.size, pending.heldBy);
	if (peers.length > 0) {
		context.effects.push({kind: 'hold-write', settlement, peers});
	}
}

export function handleSettleRetry(context: Context, token: string): void {
	const pending = context.state.requests.settlements.get(token);
	if (pending) {
		readSettlement(context, pending.settlement);
	}
}

export function handleWriteHeld(context: Context, event: EventOf<'write-held'>): void {
	for (const pending of context.state.requests.settlements.values()) {
		if (pending.settlement.claimKey === event.claimKey) {
			pending.heldBy.add(event.instanceId);
		}
	}
}
