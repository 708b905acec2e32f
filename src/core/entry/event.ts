/**
All events that the reducer of an entry instance handles. Durations and times are in
milliseconds; `nowMs` is the monotonic clock, `wallMs` the wall clock.
*/
import {type RequestId, type TargetId} from '../types.js';
import {type EntryConfiguration} from './configuration.js';
import {type EnabledMechanisms} from './mechanisms.js';
import {type PaceMode} from './pace.js';
import {
	type Beacon, type LoadAnnouncement, type OriginAnnouncement, type OriginQuery, type PermitGrant, type PermitRequest, type QuotaAsk, type QuotaGrant, type StateTransfer, type AnnouncedCut, type AnnouncedOpen, type StopAnnouncement,
} from './peer-messages.js';
import {type ReleaseRow} from './release-record.js';
import {
	type StatedRateLimit, type TargetLoad, type TargetEntry, type TargetReport,
} from './target.js';
import {
	type EngineOrderOutcome, type EntryArrival, type EntryBounds, type EntryInstance, type LeaseRecord, type TryOutcome,
} from './types.js';

/** Result of a read or a conditional write of the lease row; `unknown` if the store gave no usable response. */
export type LeaseResult =
	/** The current row; `record` is undefined when there is none. `eraRevision` as for the registry. */
	| {readonly kind: 'row'; readonly revision: number; readonly record: LeaseRecord | undefined; readonly eraRevision?: number}
	| {readonly kind: 'written'; readonly revision: number; readonly eraRevision?: number}
	| {readonly kind: 'unknown'};

/** Whether a target accepted a connection. */
export type ProbeOutcome = 'accepted' | 'refused' | 'unanswered';

type EntryEventBody =
	| {readonly kind: 'started'; readonly self: EntryInstance; readonly bounds: EntryBounds; readonly seed: number; readonly mechanisms?: EnabledMechanisms; readonly paceMode?: PaceMode}
	/** `lateMs`: how late the event loop was with it. `readUntilMs`: everything that had arrived by then was handled before; the time of the event if absent. */
	| {readonly kind: 'tick'; readonly lateMs?: number; readonly readUntilMs?: number}
	| {readonly kind: 'configuration-read'; readonly configuration: EntryConfiguration}
	/** The store has answered whether there is a newer configuration than the last one read; `sentAtMs` and `storeMs` as for the registry. */
	| {readonly kind: 'configuration-checked'; readonly sentAtMs: number; readonly sentAtWallMs?: number; readonly storeMs: number}
	| {
		readonly kind: 'registry-read';
		readonly revision: number;
		readonly entries: readonly TargetEntry[];
		readonly removed: readonly TargetId[];
		readonly isFullSnapshot: boolean;
		/** Revisions below this one are from before the store was last restored from an older copy; absent if it never was. */
		readonly eraRevision?: number;
		/** When the read was sent, by the monotonic clock, and by the time of day where that is known. */
		readonly sentAtMs: number;
		readonly sentAtWallMs?: number;
		/** The store's own monotonic clock when it responded. */
		readonly storeMs: number;
	}
	| {readonly kind: 'registry-read-failed'}
	| {readonly kind: 'instances-read'; readonly instances: readonly EntryInstance[]}
	| {readonly kind: 'request-arrived'; readonly arrival: EntryArrival}
	| {readonly kind: 'caller-left'; readonly requestId: RequestId}
	/** Told of a try that was written long after it was decided on. */
	| {readonly kind: 'try-written'; readonly requestId: RequestId; readonly tryNumber: number}
	/** Told of a try whose response is not read for a while, until its caller has taken what it brought or there is memory for more, and when it is read again. */
	| {
		readonly kind: 'try-held';
		readonly requestId: RequestId;
		readonly tryNumber: number;
		readonly isHeld: boolean;
	}
	| {
		readonly kind: 'try-progressed';
		readonly requestId: RequestId;
		readonly tryNumber: number;
		readonly delivered: number;
		readonly load?: TargetLoad;
		/** What the response's head states about the rate of requests; undefined without a head of the target's own. */
		readonly rateLimit?: StatedRateLimit;
		/** Whether the response's head states that the target leaves. */
		readonly isLeaving?: boolean;
	}
	| {
		readonly kind: 'try-ended';
		readonly requestId: RequestId;
		readonly tryNumber: number;
		readonly outcome: TryOutcome;
		readonly delivered: number;
		readonly status?: number;
		readonly load?: TargetLoad;
		readonly rateLimit?: StatedRateLimit;
		/** Whether the response's head states that the target leaves. */
		readonly isLeaving?: boolean;
		/** For a declined request: whether the target does not hold the model or adapter that it needs. */
		readonly isMissing?: boolean;
		/** For a request that another instance refused: when it may be sent again. */
		readonly retryAfterMs?: number;
		/** For a try that was not sent: whether the target refused the connection, rather than not answering. */
		readonly isRefused?: boolean;
		/** The same as `reason` as a code or a name of a closed set. */
		readonly fault?: string;
		/** Why the response was considered incomplete. */
		readonly reason?: string;
		/** The connection of the try by its number, 0 if none was opened, and the number of requests that it had carried before. */
		readonly connection?: {readonly number: number; readonly carried: number};
		/** For streams: when the first event arrived, and the longest pause between two events. */
		readonly firstEventAtMs?: number;
		readonly longestPauseMs?: number;
	}
	| {readonly kind: 'report-read'; readonly targetId: TargetId; readonly report: TargetReport | undefined}
	| {readonly kind: 'target-probed'; readonly targetId: TargetId; readonly incarnation: number; readonly outcome: ProbeOutcome}
	| {readonly kind: 'order-answered'; readonly targetId: TargetId; readonly orderNumber: number; readonly outcome: EngineOrderOutcome}
	| {readonly kind: 'adapter-requested'; readonly callId: number | undefined; readonly targetId: TargetId; readonly model: string; readonly adapter: string}
	| {readonly kind: 'adapter-resolved'; readonly targetId: TargetId; readonly name: string; readonly isHeld: boolean; readonly sequence: number}
	| {readonly kind: 'lease-request-completed'; readonly result: LeaseResult; readonly sentAtMs: number; readonly sentAtWallMs: number}
	/** The record of releases; undefined if the store gave no usable response. `sentAtMs` as for the registry. */
	| {readonly kind: 'releases-read'; readonly row: ReleaseRow | undefined; readonly sentAtMs: number}
	/** Undefined if it is not known that the record was written. */
	| {readonly kind: 'releases-written'; readonly revision: number | undefined}
	| {readonly kind: 'beacon-received'; readonly beacon: Beacon}
	| {readonly kind: 'load-announced'; readonly announcement: LoadAnnouncement}
	| {readonly kind: 'permits-requested'; readonly request: PermitRequest}
	| {readonly kind: 'permits-granted'; readonly grant: PermitGrant}
	| {readonly kind: 'quota-asked'; readonly ask: QuotaAsk}
	| {readonly kind: 'quota-granted'; readonly grant: QuotaGrant}
	| {readonly kind: 'origins-announced'; readonly announcement: OriginAnnouncement}
	| {readonly kind: 'origin-asked'; readonly query: OriginQuery}
	| {readonly kind: 'stop-announced'; readonly announcement: StopAnnouncement}
	/** A request that was passed on has ended without a whole answer here. */
	| {readonly kind: 'request-cut'; readonly cut: AnnouncedCut}
	/** While the instance stops: requests that were passed on and are not whole yet, and the number of those beyond them. */
	| {readonly kind: 'requests-open'; readonly open: readonly AnnouncedOpen[]; readonly more: number}
	/** The process is about to end. */
	| {readonly kind: 'closing'}
	| {readonly kind: 'pull-completed'; readonly transfer: StateTransfer | undefined}
	/** The signal may have been sent up to `noticedWithinMs` before this process handled it. */
	| {readonly kind: 'drain-requested'; readonly noticedWithinMs?: number};

export type EntryEvent = EntryEventBody & {readonly nowMs: number; readonly wallMs: number};

/** An event before its source stamps the times. */
export type Untimed<Event = EntryEvent> = Event extends unknown ? Omit<Event, 'nowMs' | 'wallMs'> : never;

export type EntryEventOf<Kind extends EntryEvent['kind']> = Extract<EntryEvent, {kind: Kind}>;
