/**
Publishes facts of this instance, merges facts of peers and selects the facts for an
exchange. Urgent facts are sent to peers at once. In addition, every new fact is queued
for a number of exchanges that grows with the logarithm of the number of instances, and
a slow sweep resends all facts. The size of an exchange is bounded, so the overhead does
not grow with the rate of changes.
*/
import {type Context} from '../context.js';
import {type Fact, type FactKind, type FactValue} from './types.js';
import {type FactRecord} from './state.js';

/** Maximum size of the facts in one exchange, in bytes of JSON. */
export const MAX_EXCHANGE_BYTES = 800;

/** Maximum size of the facts that the sweep adds to an exchange, in bytes of JSON, if queued facts leave room. */
const MAX_SWEEP_BYTES = 300;

/** Number of peers to which the origin of an urgent fact sends it at once. */
const URGENT_FANOUT = 16;

/** Number of peers to which an instance relays an urgent fact that was new to it. */
export const RELAY_FANOUT = 4;

/** Number of exchanges in which a new fact is sent, as a multiple of log2 of the number of instances. */
const RETRANSMIT_FACTOR = 3;
const FACT_OVERHEAD_BYTES = 48;

/** Time after which the sweep drops a fact instead of resending it; `undefined` means never. */
const lifetimeMs: Readonly<Record<FactKind, number | undefined>> = {
	instance: undefined,
	configuration: undefined,
	condemned: 60 * 60 * 1000,
	suspected: 10 * 60 * 1000,
	crashed: 60 * 60 * 1000,
	cleared: 10 * 60 * 1000,
	isolated: 60 * 1000,
	'idle-zone': 60 * 1000,
	copies: 60 * 60 * 1000,
	'leaving-copy': 10 * 60 * 1000,
	lease: undefined,
	'closed-epoch': 60 * 60 * 1000,
	demand: 30 * 1000,
};

const urgentKinds: ReadonlySet<FactKind> = new Set(['configuration', 'condemned', 'suspected', 'crashed', 'cleared', 'isolated', 'idle-zone', 'instance', 'leaving-copy', 'copies']);

/** Publishes a fact with this instance as its origin. */
export function publishFact(context: Context, key: string, value: FactValue): void {
	const {state} = context;
	// Versions follow the wall clock, so they keep increasing across restarts.
	const wallMs = Math.floor(context.nowMs + state.wallOffsetMs);
	state.peers.version = Math.max(state.peers.version + 1, wallMs);
	shareFact(context, {
		key, origin: state.self.id, version: state.peers.version, value,
	});
}

/** Merges a fact and, if it is new and urgent, sends it to peers at once. */
export function shareFact(context: Context, fact: Fact): void {
	if (mergeFact(context, fact)) {
		sendUrgent(context, fact, URGENT_FANOUT);
	}
}

/** Whether a fact is sent at once. That a zone became idle can wait for an exchange; that it no longer is cannot. */
function isUrgent(value: FactValue): boolean {
	return urgentKinds.has(value.kind) && !(value.kind === 'idle-zone' && value.isIdle);
}

/** Sends a fact to random peers at once if it is urgent, so that it reaches all instances in a few hops. */
export function sendUrgent(context: Context, fact: Fact, fanout: number): void {
	if (!isUrgent(fact.value)) {
		return;
	}

	for (const peer of context.state.membership.pickPeers(context, fanout)) {
		context.effects.push({kind: 'exchange', peer, facts: [fact]});
	}
}

/** Stores a fact unless the known one is as new or newer. Returns whether it was new. */
export function mergeFact(context: Context, fact: Fact): boolean {
	const {facts, news} = context.state.peers;
	const known = facts.get(fact.key);
	if (known && !supersedes(fact, known.fact)) {
		return false;
	}

	facts.set(fact.key, {
		fact,
		sendsLeft: Math.ceil(RETRANSMIT_FACTOR * Math.log2(context.state.membership.size + 2)),
		receivedAtMs: context.nowMs,
		bytes: factBytes(fact),
	});
	if (!known || known.sendsLeft === 0) {
		news.push(fact.key);
	}

	return true;
}

export function supersedes(fact: Fact, known: Fact): boolean {
	return fact.version > known.version || (fact.version === known.version && fact.origin > known.origin);
}

/** Selects the facts for the next exchange, within its size limit: queued facts first, then those of the sweep. */
export function takeFacts(context: Context): Fact[] {
	const selected = new Map<string, Fact>();
	const bytes = takeQueued(context, selected);
	takeSwept(context, selected, Math.min(MAX_EXCHANGE_BYTES, bytes + MAX_SWEEP_BYTES) - bytes);
	return [...selected.values()];
}

function takeQueued(context: Context, selected: Map<string, Fact>): number {
	const {facts, news} = context.state.peers;
	let bytes = 0;
	for (let remaining = news.length; remaining > 0; remaining--) {
		const key = news.shift();
		const record = key === undefined ? undefined : facts.get(key);
		if (key === undefined || !record || record.sendsLeft === 0) {
			continue;
		}

		const size = record.bytes;
		if (bytes + size > MAX_EXCHANGE_BYTES) {
			news.unshift(key);
			break;
		}

		bytes += size;
		record.sendsLeft--;
		selected.set(key, record.fact);
		if (record.sendsLeft > 0) {
			news.push(key);
		}
	}

	return bytes;
}

function takeSwept(context: Context, selected: Map<string, Fact>, budgetBytes: number): void {
	const {peers} = context.state;
	let bytes = 0;
	for (let remaining = peers.facts.size; remaining > 0; remaining--) {
		peers.sweep ??= peers.facts.keys();
		const next = peers.sweep.next();
		if (next.done) {
			peers.sweep = undefined;
			return;
		}

		const record = peers.facts.get(next.value);
		if (!record || dropExpired(context, record)) {
			continue;
		}

		bytes += record.bytes;
		if (bytes > budgetBytes) {
			return;
		}

		selected.set(next.value, record.fact);
	}
}

function dropExpired(context: Context, record: FactRecord): boolean {
	const factLifetimeMs = lifetimeMs[record.fact.value.kind];
	const isExpired = factLifetimeMs !== undefined && context.nowMs - record.receivedAtMs > factLifetimeMs;
	if (isExpired) {
		context.state.peers.facts.delete(record.fact.key);
	}

	return isExpired;
}

function factBytes(fact: Fact): number {
	return FACT_OVERHEAD_BYTES + fact.key.length + JSON.stringify(fact.value).length;
}
