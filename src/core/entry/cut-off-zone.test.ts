/**
A large zone of instances that are all cut off from all targets, connections to which hang,
while the other zones serve: what their callers get once the partition has lasted for a
while. Each instance has few requests of its own to learn from.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EntryGroup} from '../../../test/standins/entry-group.js';
import {
	engineEntry, instance, targetEntry, type EntryHarness,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';
import {type EntryEvent, type Untimed} from './event.js';

const zones = ['north', 'south', 'west'];
const INSTANCES_PER_ZONE = 24;
const TICK_MS = 50;
const CONNECT_MS = 300;
const HOP_MS = 10;
const WORK_MS = 40;
const REQUEST_INTERVAL_MS = 1000;
/** Time for which the partition is not judged, and time that is. */
const CONTACT_MS = 3000;
const JUDGED_MS = 2500;
const entries = [
	...Array.from({length: 40}, (_, index) => engineEntry(`e${index}`, [`m${index % 12}`, `m${(index + 5) % 12}`], {zone: zones[index % 3]!})),
	...Array.from({length: 6}, (_, index) => targetEntry(`t${index}`, {zone: zones[index % 3]!})),
];

type Due = {
	readonly atMs: number;
	readonly member: EntryHarness;
	readonly event: Untimed;
};

/** Requests at the instances of a zone that is cut off, by id: whether an instance that reaches the targets has got them. */
class CutOffZone {
	readonly served = new Map<string, boolean>();
	private readonly _group = new EntryGroup(
		zones.flatMap(zone => Array.from({length: INSTANCES_PER_ZONE}, (_, index) => ({...instance(`${zone}-${index}`, zone), callerAddress: `${zone}-${index}:3`}))),
		() => entries,
	);

	private _due: Due[] = [];

	constructor() {
		for (let second = 0; second < 3; second++) {
			this._group.advance(1000);
			this._group.readRegistry(entries);
		}
	}

	run(durationMs: number, counts = false): void {
		for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
			for (const [index, member] of this._group.members.entries()) {
				this._handle(member, member.advance(TICK_MS));
				if (isCutOff(member) && (passedMs + (index * TICK_MS)) % REQUEST_INTERVAL_MS === 0) {
					this._arrive(member, counts);
				}
			}

			const due = this._due;
			this._due = due.filter(({atMs, member}) => atMs > member.nowMs);
			for (const {member, event} of due.filter(({atMs, member}) => atMs <= member.nowMs)) {
				this._handle(member, member.dispatch(event));
			}

			if (passedMs % 500 === 0) {
				this._group.readRegistry(entries);
			}
		}
	}

	private _arrive(member: EntryHarness, counts: boolean): void {
		const number = this.served.size;
		const id = `${counts ? 'judged' : 'early'}-${number}`;
		this.served.set(id, false);
		this._handle(member, number % 3 === 0 ? member.arrive(id, '/sign/1', {deadlineMs: 1500}) : member.arrive(id, '/ask/1', {model: `m${number % 12}`, deadlineMs: 8000}));
	}

	private _handle(member: EntryHarness, effects: readonly EntryEffect[]): void {
		this._group.deliver(member, effects);
		for (const effect of isCutOff(member) ? effects : []) {
			if (effect.kind === 'probe-target') {
				const {targetId, incarnation} = effect;
				this._schedule(member, CONNECT_MS, {
					kind: 'target-probed', targetId, incarnation, outcome: 'unanswered',
				});
			} else if (effect.kind === 'send') {
				this._send(member, effect);
			}
		}
	}

	private _send(member: EntryHarness, {requestId, tryNumber, address, relayed}: Extract<EntryEffect, {kind: 'send'}>): void {
		const ended = {
			kind: 'try-ended', requestId, tryNumber, delivered: 0,
		} as const;
		if (!relayed) {
			this._schedule(member, CONNECT_MS, {...ended, outcome: 'not-sent'});
		} else if (address.startsWith('north')) {
			this._schedule(member, HOP_MS, {
				...ended, outcome: 'not-run', status: 421, isMissing: true,
			});
		} else {
			this.served.set(requestId, true);
			this._schedule(member, WORK_MS, {...ended, outcome: 'answered', status: 200});
		}
	}

	private _schedule(member: EntryHarness, inMs: number, event: Untimed): void {
		this._due.push({atMs: member.nowMs + inMs, member, event});
	}
}

function isCutOff({self}: EntryHarness): boolean {
	return self.zone === 'north';
}

// Guards against instances of a large zone that is cut off which ask each other, and refuse their callers while another zone serves.
test('a whole zone is cut off from all targets: after three seconds its callers are served through the others', () => {
	const zone = new CutOffZone();
	zone.run(CONTACT_MS);
	zone.run(JUDGED_MS, true);
	const judged = [...zone.served].filter(([id]) => id.startsWith('judged')).map(([, isServed]) => isServed);
	const served = judged.filter(Boolean).length;
	assert.ok(judged.length > 50 && served >= judged.length * 0.95, `${served} of ${judged.length} served`);
});
