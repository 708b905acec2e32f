/**
Every effect that the reducer of an entry instance asks its daemon for, as data.
*/
import {type LogEventName} from '../log-events.js';
import {type ResultName} from '../result-codes.js';
import {type RequestId, type TargetId} from '../types.js';
import {type EntryConfiguration} from './configuration.js';
import {type Beacon, type KnownVersions} from './peer-messages.js';
import {type EngineOrder, type EntryInstance, type LeaseRecord} from './types.js';

export type EntryEffect =
	| {
		readonly kind: 'send';
		readonly requestId: RequestId;
		readonly tryNumber: number;
		readonly targetId: TargetId;
		/** Host and port. */
		readonly address: string;
		/** Time that the target is given. */
		readonly remainingMs: number;
		readonly rank: number;
		/** Whether a connection of its own is used, so that nothing stale can swallow or double the work. */
		readonly usesFreshConnection: boolean;
		readonly isStream: boolean;
		/** Whether a server error is the final answer and passed on. */
		readonly passesErrors: boolean;
		readonly maxConnections: number;
	}
	| {readonly kind: 'cancel'; readonly requestId: RequestId; readonly tryNumber: number}
	/** Passes on the answer that the last try brought. */
	| {readonly kind: 'deliver'; readonly requestId: RequestId}
	| {readonly kind: 'refuse'; readonly requestId: RequestId; readonly code: ResultName; readonly retryAfterMs?: number; readonly detail?: string}
	/** Ends an answer that began so that it cannot look complete. */
	| {readonly kind: 'break-off'; readonly requestId: RequestId}
	| {readonly kind: 'read-registry'; readonly afterRevision: number}
	| {readonly kind: 'read-report'; readonly targetId: TargetId; readonly address: string}
	| {readonly kind: 'order'; readonly targetId: TargetId; readonly address: string; readonly orderNumber: number; readonly order: EngineOrder}
	| {readonly kind: 'ask-adapter'; readonly holder: EntryInstance; readonly targetId: TargetId; readonly model: string; readonly adapter: string}
	/** Answers a peer's question, or this instance's own when there is no call id, once the transfer has taken its time. */
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
	| {readonly kind: 'beacon'; readonly addresses: readonly string[]; readonly beacon: Beacon}
	/** Asks a peer for what is newer there. */
	| {readonly kind: 'pull'; readonly address: string; readonly holdings: KnownVersions}
	| {readonly kind: 'adopt-configuration'; readonly configuration: EntryConfiguration}
	| {readonly kind: 'log'; readonly event: LogEventName; readonly fields: Readonly<Record<string, unknown>>}
	| {readonly kind: 'set-readiness'; readonly isReady: boolean}
	/** Closes idle connections of callers and takes no new ones. */
	| {readonly kind: 'close-front'}
	| {readonly kind: 'stop'};

export type EntryEffectOf<Kind extends EntryEffect['kind']> = Extract<EntryEffect, {kind: Kind}>;
