/**
Facts that instances gossip to each other. Of two facts with the same key the one with
the higher version wins, and the larger origin breaks ties, so that all instances
converge on the same value whatever the order of arrival.
*/
import {type Fingerprint} from '../request/crash-evidence.js';
import {type Demand} from '../placement/types.js';
import {type Instance, type InstanceId, type TargetId} from '../types.js';

export type FactValue =
	| {readonly kind: 'instance'; readonly instance: Instance}
	| {readonly kind: 'configuration'; readonly version: number}
	| {readonly kind: 'condemned'; readonly contentHash: string}
	| {readonly kind: 'suspected'; readonly contentHash: string; readonly targetId: TargetId; readonly boot: string}
	/** A crash of a target at which requests with a prompt prefix ran. */
	| {readonly kind: 'crashed'; readonly targetId: TargetId; readonly boot: string; readonly fingerprint: Fingerprint}
	/** Of content or of a prompt prefix. */
	| {readonly kind: 'cleared'; readonly contentHash: string}
	| {readonly kind: 'isolated'; readonly targetId: TargetId; readonly contentHash: string; readonly isExclusive: boolean}
	| {readonly kind: 'copies'; readonly targetId: TargetId; readonly models: readonly string[]}
	| {readonly kind: 'idle-zone'; readonly group: string; readonly isIdle: boolean}
	| {readonly kind: 'leaving-copy'; readonly targetId: TargetId; readonly model: string; readonly leaving: boolean}
	| {readonly kind: 'lease'; readonly group: string; readonly holder: InstanceId; readonly epoch: number}
	| {readonly kind: 'closed-epoch'; readonly group: string; readonly epoch: number}
	| {readonly kind: 'demand'; readonly demand: readonly Demand[]};

export type FactKind = FactValue['kind'];

export type Fact = {
	readonly key: string;
	readonly origin: InstanceId;
	readonly version: number;
	readonly value: FactValue;
};
