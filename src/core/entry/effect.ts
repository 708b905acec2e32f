/**
All effects that the reducer of an entry instance returns for its daemon to carry out,
as plain data.
*/
import {type LogEventName} from '../log-events.js';
import {type ResultName} from '../result-codes.js';
import {type RequestId, type TargetId} from '../types.js';
import {type EntryConfiguration} from './configuration.js';
import {
	type Beacon, type KnownVersions, type LoadAnnouncement, type OriginAnnouncement, type OriginQuery, type PermitGrant, type PermitRequest, type QuotaAsk, type QuotaGrant, type StopAnnouncement,
} from './peer-messages.js';
import {type ReleaseRecord} from './release-record.js';
import {
	type EngineOrder, type EntryInstance, type LeaseRecord, type Relayed,
} from './types.js';

export type EntryEffect =
	| {
		readonly kind: 'send';
		readonly requestId: RequestId;
		readonly tryNumber: number;
		readonly targetId: TargetId;
		/** Host and port. */
		readonly address: string;
		/** Time left for the target, sent along with the request. */
		readonly remainingMs: number;
		readonly rank: number;
		/** Whether to open a new connection, since a stale pooled one could lose the request or have it executed twice. */
		readonly usesFreshConnection: boolean;
		readonly isStream: boolean;
		/** Whether a server error is the final response and forwarded to the caller. */
		readonly forwardsErrors: boolean;
		readonly maxConnections: number;
		/** Whether the caller's API key, and a workspace that it states itself, are removed from the headers. */
		readonly hidesKey: boolean;
		/** Name of the workspace that the request belongs to, undefined for none. */
		readonly workspace: string | undefined;
		/** How many idle connections to the target this instance may keep for any requests, if reuse for all is set. */
		readonly maxIdleConnections: number;
		/** Present if the address is another instance's, which the request is passed on to. */
		readonly relayed?: Relayed;
	}
	| {readonly kind: 'cancel'; readonly requestId: RequestId; readonly tryNumber: number}
	/** Forwards the response of the last try to the caller. */
	| {readonly kind: 'deliver'; readonly requestId: RequestId}
	| {readonly kind: 'refuse'; readonly requestId: RequestId; readonly code: ResultName; readonly retryAfterMs?: number; readonly detail?: string}
	/** Aborts a response that has begun, so that the caller cannot take it for complete. */
	| {readonly kind: 'break-off'; readonly requestId: RequestId}
	/** Fails the requests that were closed and whose answer was lost with the task that closed them. */
	| {readonly kind: 'fail-lost-requests'}
	/** Reads what has changed in the registry, or all of it. */
	| {readonly kind: 'read-registry'; readonly isWhole: boolean}
	/** Asks the store, beside the long poll, whether there is a newer configuration. */
	| {readonly kind: 'check-configuration'}
	/** Opens a connection to a target and closes it, to learn whether the target is up. */
	| {readonly kind: 'probe-target'; readonly targetId: TargetId; readonly address: string; readonly incarnation: number}
	| {readonly kind: 'read-report'; readonly targetId: TargetId; readonly address: string}
	| {readonly kind: 'order'; readonly targetId: TargetId; readonly address: string; readonly orderNumber: number; readonly order: EngineOrder}
	| {readonly kind: 'ask-adapter'; readonly holder: EntryInstance; readonly targetId: TargetId; readonly model: string; readonly adapter: string}
	/** Responds to a peer's adapter request, or to this instance's own when `callId` is undefined, after `delayMs`, the time that the transfer takes. */
	| {
		readonly kind: 'tell-adapter';
		readonly callId: number | undefined;
		readonly targetId: TargetId;
		readonly name: string;
		readonly isHeld: boolean;
		readonly sequence: number;
		readonly delayMs: number;
	}
	| {readonly kind: 'read-lease'}
	| {readonly kind: 'write-lease'; readonly expectedRevision: number; readonly record: LeaseRecord}
	| {readonly kind: 'read-releases'}
	| {readonly kind: 'write-releases'; readonly expectedRevision: number; readonly record: ReleaseRecord}
	| {readonly kind: 'beacon'; readonly addresses: readonly string[]; readonly beacon: Beacon}
	| {readonly kind: 'announce-load'; readonly addresses: readonly string[]; readonly announcement: LoadAnnouncement}
	| {readonly kind: 'ask-permits'; readonly address: string; readonly request: PermitRequest}
	| {readonly kind: 'grant-permits'; readonly address: string; readonly grant: PermitGrant}
	| {readonly kind: 'ask-quota'; readonly address: string; readonly ask: QuotaAsk}
	| {readonly kind: 'grant-quota'; readonly address: string; readonly grant: QuotaGrant}
	| {readonly kind: 'announce-origins'; readonly addresses: readonly string[]; readonly announcement: OriginAnnouncement}
	| {readonly kind: 'ask-origin'; readonly addresses: readonly string[]; readonly query: OriginQuery}
	| {readonly kind: 'announce-stop'; readonly addresses: readonly string[]; readonly announcement: StopAnnouncement}
	/** Requests whatever is newer at a peer. */
	| {readonly kind: 'pull'; readonly address: string; readonly known: KnownVersions}
	| {readonly kind: 'adopt-configuration'; readonly configuration: EntryConfiguration}
	| {readonly kind: 'log'; readonly event: LogEventName; readonly fields: Readonly<Record<string, unknown>>}
	| {readonly kind: 'set-readiness'; readonly isReady: boolean}
	/** Closes idle connections of callers and stops accepting new ones. */
	| {readonly kind: 'close-front'}
	| {readonly kind: 'stop'};

export type EntryEffectOf<Kind extends EntryEffect['kind']> = Extract<EntryEffect, {kind: Kind}>;
