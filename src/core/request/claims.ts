/**
Claims for work that runs at most once. A claim is a row in the platform's table,
inserted before anything is sent to a target. An open claim is never taken over, so no
process pause, lease expiry or clock error can make the work run twice. A claim can be
acquired again only after its row is `released`, which its holder writes once it is
certain that nothing was sent and nothing will be.
*/
import {
	jitter, logEvent, uniqueToken, type Context,
} from '../context.js';
import {type EventOf} from '../event.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row, type TableAnswer} from '../table.js';
import {type RequestId, type RouteId} from '../types.js';
import {admit} from './admission.js';
import {refuse, replay} from './closing.js';
import {type Claim, type ClaimRow, type OpenRequest} from './types.js';

const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2000;
const MAX_JOIN_DELAY_MS = 2000;
/** Time that a claim's row outlives both the retention of its answer and its deadline. */
const ROW_EXPIRY_MARGIN_MS = 60 * 60 * 1000;

/** Creates the claim of an arriving request. `acquireClaim` writes it to the table. */
export function createClaim(context: Context, caller: string, route: RouteId, key: string): Claim {
	return {
		key: `claim/${caller}/${route}/${key}`,
		token: uniqueToken(context),
		revision: 0,
		ambiguous: false,
		inserting: false,
		retries: 0,
	};
}

/** Inserts the claim, or joins the request on this instance that holds it already. */
export function acquireClaim(context: Context, request: OpenRequest): void {
	const {localClaims} = context.state.requests;
	const {claim} = request;
	if (!claim) {
		return;
	}

	const localClaim = localClaims.get(claim.key);
	if (localClaim) {
		joinLocalRequest(context, request, localClaim.holder);
		return;
	}

	localClaims.set(claim.key, {holder: request.id, token: claim.token, joiners: new Set()});
	request.phase = 'claiming';
	insertClaim(context, request, 0);
}

function joinLocalRequest(context: Context, request: OpenRequest, holder: RequestId): void {
	const {requests} = context.state;
	const holderRequest = requests.open.get(holder);
	if (holderRequest && holderRequest.contentHash !== request.contentHash) {
		refuse(context, request, {code: 'key-reused', ran: 'no'});
		return;
	}

	request.phase = 'joining';
	requests.localClaims.get(request.claim?.key ?? '')?.joiners.add(request.id);
}

/** Writes the claim, conditional on the row still having the given revision (0: no row). */
function insertClaim(context: Context, request: OpenRequest, revision: number): void {
	const claim = request.claim!;
	claim.inserting = true;
	startTableOperation(context, {
		kind: 'write',
		conditions: [{key: claim.key, revision}],
		puts: [{key: claim.key, value: createOpenRow(context, request, claim), expiresAtMs: claimExpiryMs(context, request)}],
	}, {kind: 'claim-insert', requestId: request.id});
}

function createOpenRow({state}: Context, request: OpenRequest, claim: Claim): ClaimRow {
	return {
		token: claim.token,
		claimant: state.self.id,
		claimantBoot: state.self.boot,
		bodyHash: request.contentHash,
		state: 'open',
	};
}

/** Wall-clock time in milliseconds after which the platform may delete the claim's row. */
export function claimExpiryMs({state, nowMs}: Context, request: OpenRequest): number {
	const retentionMs = Math.max(request.answerRetentionMs, request.deadlineAtMs - request.arrivedAtMs) + ROW_EXPIRY_MARGIN_MS;
	return Math.round(nowMs + state.wallOffsetMs + retentionMs);
}

type ClaimAnswerHandlers = {
	readonly [Kind in TableAnswer['kind']]: (context: Context, request: OpenRequest, answer: Extract<TableAnswer, {kind: Kind}>) => void;
};

const insertAnswerHandlers: ClaimAnswerHandlers = {
	written(context, request, answer) {
		const claim = request.claim!;
		claim.revision = answer.revisions[claim.key] ?? 0;
		admit(context, request);
	},
	conflict(context, request, answer) {
		resolveByRow(context, request, answer.rows[0]);
	},
	lost(context, request) {
		const claim = request.claim!;
		claim.ambiguous = true;
		logEvent(context, 'claim-ambiguous', {requestId: request.id});
		readClaim(context, request);
	},
	unavailable(context, request) {
		scheduleRetry(context, request);
	},
	rows() {
		// Not an answer to a write.
	},
};

const readAnswerHandlers: ClaimAnswerHandlers = {
	rows(context, request, answer) {
		resolveByRow(context, request, answer.rows[0]);
	},
	written() {
		// Not an answer to a read.
	},
	conflict() {
		// Not an answer to a read.
	},
	lost(context, request) {
		scheduleRetry(context, request);
	},
	unavailable(context, request) {
		scheduleRetry(context, request);
	},
};

export function handleClaimInsert(context: Context, step: TableStepOf<'claim-insert'>, event: EventOf<'table-answered'>): void {
	const claim = context.state.requests.open.get(step.requestId)?.claim;
	if (claim) {
		claim.inserting = false;
	}

	dispatchAnswer(context, step.requestId, insertAnswerHandlers, event.answer);
}

export function handleClaimRead(context: Context, step: TableStepOf<'claim-read'>, event: EventOf<'table-answered'>): void {
	dispatchAnswer(context, step.requestId, readAnswerHandlers, event.answer);
}

function dispatchAnswer(context: Context, requestId: RequestId, handlers: ClaimAnswerHandlers, answer: TableAnswer): void {
	const request = context.state.requests.open.get(requestId);
	if (request?.phase === 'claiming') {
		const handler = handlers[answer.kind] as (context: Context, request: OpenRequest, answer: TableAnswer) => void;
		handler(context, request, answer);
	}
}

function readClaim(context: Context, request: OpenRequest): void {
	const claim = request.claim!;
	startTableOperation(context, {kind: 'read', keys: [claim.key]}, {kind: 'claim-read', requestId: request.id});
}

/** Schedules a retry with exponential backoff. If a write may have taken effect, the retry starts with a read. */
function scheduleRetry(context: Context, request: OpenRequest): void {
	const claim = request.claim!;
	claim.retries++;
	request.timerSequence++;
	const delayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * (2 ** Math.min(claim.retries, 10)));
	context.state.timers.set(context.nowMs + jitter(context, delayMs), {
		kind: 'claim-retry',
		requestId: request.id,
		sequence: request.timerSequence,
	});
}

export function handleClaimRetry(context: Context, request: OpenRequest): void {
	if (request.phase === 'joining') {
		readJoinedClaim(context, request);
		return;
	}

	if (request.phase !== 'claiming') {
		return;
	}

	if (request.claim?.ambiguous) {
		readClaim(context, request);
	} else {
		insertClaim(context, request, 0);
	}
}

/** Decides from the current row of the claim whether to run, join, replay or refuse the request. */
function resolveByRow(context: Context, request: OpenRequest, row: Row | undefined): void {
	const claim = request.claim!;
	const value = row?.value as ClaimRow | undefined;
	if (!row || row.revision === 0 || !value) {
		insertClaim(context, request, 0);
		return;
	}

	if (value.token === claim.token && value.state === 'open') {
		claim.revision = row.revision;
		admit(context, request);
		return;
	}

	if (value.bodyHash !== request.contentHash && value.state !== 'released') {
		dropLocalClaim(context, request);
		refuse(context, request, {code: 'key-reused', ran: 'no'});
		return;
	}

	rowHandlers[value.state](context, request, row, value);
}

type RowHandler = (context: Context, request: OpenRequest, row: Row, value: ClaimRow) => void;

const rowHandlers: Readonly<Record<ClaimRow['state'], RowHandler>> = {
	open(context, request, _row, value) {
		dropLocalClaim(context, request);
		joinRemoteRequest(context, request, value);
	},
	done(context, request, _row, value) {
		dropLocalClaim(context, request);
		if (value.answer) {
			replay(context, request, value.answer);
		} else {
			refuse(context, request, {code: 'outcome-unknown', ran: 'yes'});
		}
	},
	released(context, request, row) {
		insertClaim(context, request, row.revision);
	},
	unknown(context, request) {
		dropLocalClaim(context, request);
		refuse(context, request, {code: 'outcome-unknown', ran: 'unknown'});
	},
};

/**
Polls the row for the outcome of another instance's run, unless that instance is gone
and can no longer record one.
*/
function joinRemoteRequest(context: Context, request: OpenRequest, value: ClaimRow): void {
	if (context.state.membership.isGone(value.claimant, value.claimantBoot)) {
		request.phase = 'joining';
		refuse(context, request, {code: 'outcome-unknown', ran: 'unknown'});
		return;
	}

	request.phase = 'joining';
	request.joinDelayMs = Math.min(MAX_JOIN_DELAY_MS, request.joinDelayMs * 2);
	request.timerSequence++;
	context.state.timers.set(context.nowMs + jitter(context, request.joinDelayMs), {
		kind: 'claim-retry',
		requestId: request.id,
		sequence: request.timerSequence,
	});
}

function readJoinedClaim(context: Context, request: OpenRequest): void {
	const claim = request.claim!;
	startTableOperation(context, {kind: 'read', keys: [claim.key]}, {kind: 'claim-join', requestId: request.id});
}

export function handleClaimJoin(context: Context, step: TableStepOf<'claim-join'>, event: EventOf<'table-answered'>): void {
	const request = context.state.requests.open.get(step.requestId);
	if (request?.phase !== 'joining') {
		return;
	}

	if (event.answer.kind !== 'rows') {
		scheduleRetry(context, request);
		return;
	}

	const row = event.answer.rows[0];
	const value = row?.value as ClaimRow | undefined;
	if (!row || !value || value.state === 'released') {
		// The earlier request released the claim before anything was sent, so this one may run.
		acquireClaim(context, request);
		return;
	}

	rowHandlers[value.state](context, request, row, value);
}

/** Drops this instance's record of the claim; joined requests then try to acquire the claim themselves. */
export function dropLocalClaim(context: Context, request: OpenRequest): void {
	const {localClaims} = context.state.requests;
	const key = request.claim?.key ?? '';
	const localClaim = localClaims.get(key);
	if (localClaim?.holder !== request.id) {
		return;
	}

	localClaims.delete(key);
	resumeJoiners(context, localClaim.joiners);
}

/** Makes requests that waited for a local holder acquire the claim or join a new holder. */
export function resumeJoiners(context: Context, joiners: ReadonlySet<RequestId>): void {
	for (const id of joiners) {
		const request = context.state.requests.open.get(id);
		if (request?.phase === 'joining') {
			acquireClaim(context, request);
		}
	}
}
