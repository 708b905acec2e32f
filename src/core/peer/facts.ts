/**
Publishes facts of this instance, takes in those of peers, and picks what an
exchange carries. Urgent facts go to peers at once; every fact is then sent as
news a number of times that grows with the logarithm of the number of instances,
and again by a slow sweep. The bytes of an exchange are bounded, so the cost of
control does not depend on how much happens.
*/
import {type Context} from '../context.js';
import {type Fact, type FactKind, type FactValue} from './types.js';
import {type FactRecord} from './state.js';

/** Largest size of the facts in one exchange, as JSON. */
export const EXCHANGE_MAX_BYTES = 800;

/** Part of an exchange that the sweep may fill when there is little news. */
const SWEEP_MAX_BYTES = 300;

/** Peers that hear an urgent fact from its origin at once. */
const URGENT_PEERS = 16;

/** Peers to which an instance passes on an urgent fact that was news to it. */
export const RELAY_PEERS = 4;
const NEWS_FACTOR = 3;
const FACT_OVERHEAD_BYTES = 48;

/** How long a fact is worth passing on; undefined for ever. */
const lifetimeMs: Readonly<Record<FactKind, number | undefined>> = {
	instance: undefined,
	configuration: undefined,
	condemned: 60 * 60 * 1000,
	suspected: 10 * 60 * 1000,
	cleared: 10 * 60 * 1000,
	isolated: 60 * 1000,
	'idle-zone': 60 * 1000,
	copies: 60 * 60 * 1000,
	'leaving-copy': 10 * 60 * 1000,
	lease: undefined,
	'closed-epoch': 60 * 60 * 1000,
	demand: 30 * 1000,
};

const urgentKinds: ReadonlySet<FactKind> = new Set(['configuration', 'condemned', 'suspected', 'cleared', 'isolated', 'idle-zone', 'instance', 'leaving-copy', 'copies']);

/** Makes a fact known to this instance and its peers. */
export function publishFact(context: Context, key: string, value: FactValue): void {
	const {state} = context;
	// Versions outlast restarts because they start from the wall clock.
	const wallMs = Math.floor(context.nowMs + state.wallOffsetMs);
	state.peers.version = Math.max(state.peers.version + 1, wallMs);
	shareFact(context, {
		key, origin: state.self.id, version: state.peers.version, value,
	});
}

/** Stores a fact of this instance and sends it to peers at once if it is urgent. */
export function shareFact(context: Context, fact: Fact): void {
	if (store(context, fact)) {
		sendUrgent(context, fact, URGENT_PEERS);
	}
}

/** A zone's word that it is idle can wait; that it is no longer so cannot. */
function isUrgent(value: FactValue): boolean {
	return urgentKinds.has(value.kind) && !(value.kind === 'idle-zone' && value.isIdle);
}

/** Passes an urgent fact on at once, so that it reaches all instances in a few hops. */
export function sendUrgent(context: Context, fact: Fact, peers: number): void {
	if (!isUrgent(fact.value)) {
		return;
	}

	for (const peer of context.state.membership.pickPeers(context, peers)) {
		context.effects.push({kind: 'exchange', peer, facts: [fact]});
	}
}

/** Takes in a peer's fact. Returns whether it was news. */
export function store(context: Context, fact: Fact): boolean {
	const {facts, news} = context.state.peers;
	const held = facts.get(fact.key);
	if (held && !supersedes(fact, held.fact)) {
		return false;
	}

	facts.set(fact.key, {
		fact,
		sendsLeft: Math.ceil(NEWS_FACTOR * Math.log2(context.state.membership.size + 2)),
		receivedAtMs: context.nowMs,
		bytes: factBytes(fact),
	});
	if (!held || held.sendsLeft === 0) {
		news.push(fact.key);
	}

	return true;
}

export function supersedes(fact: Fact, held: Fact): boolean {
	return fact.version > held.version || (fact.version === held.version && fact.origin > held.origin);
}

/** The facts of the next exchange: news first, then the sweep, within the byte bound. */
export function takeFacts(context: Context): Fact[] {
	const taken = new Map<string, Fact>();
	const bytes = takeNews(context, taken);
	takeSwept(context, taken, Math.min(EXCHANGE_MAX_BYTES, bytes + SWEEP_MAX_BYTES) - bytes);
	return [...taken.values()];
}

function takeNews(context: Context, taken: Map<string, Fact>): number {
	const {facts, news} = context.state.peers;
	let bytes = 0;
	for (let remaining = news.length; remaining > 0; remaining--) {
		const key = news.shift();
		const held = key === undefined ? undefined : facts.get(key);
		if (key === undefined || !held || held.sendsLeft === 0) {
			continue;
		}

		const size = held.bytes;
		if (bytes + size > EXCHANGE_MAX_BYTES) {
			news.unshift(key);
			break;
		}

		bytes += size;
		held.sendsLeft--;
		taken.set(key, held.fact);
		if (held.sendsLeft > 0) {
			news.push(key);
		}
	}

	return bytes;
}

function takeSwept(context: Context, taken: Map<string, Fact>, budgetBytes: number): void {
	const {peers} = context.state;
	let bytes = 0;
	for (let remaining = peers.facts.size; remaining > 0; remaining--) {
		peers.sweep ??= peers.facts.keys();
		const next = peers.sweep.next();
		if (next.done) {
			peers.sweep = undefined;
			return;
		}

		const held = peers.facts.get(next.value);
		if (!held || dropExpired(context, held)) {
			continue;
		}

		bytes += held.bytes;
		if (bytes > budgetBytes) {
			return;
		}

		taken.set(next.value, held.fact);
	}
}

function dropExpired(context: Context, held: FactRecord): boolean {
	const lifeMs = lifetimeMs[held.fact.value.kind];
	const isExpired = lifeMs !== undefined && context.nowMs - held.receivedAtMs > lifeMs;
	if (isExpired) {
		context.state.peers.facts.delete(held.fact.key);
	}

	return isExpired;
}

function factBytes(fact: Fact): number {
	return FACT_OVERHEAD_BYTES + fact.key.length + JSON.stringify(fact.value).length;
}
