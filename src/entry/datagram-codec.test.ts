/**
Datagrams between instances: what is sent is what arrives, and other bytes are ignored.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import {beacon} from '../../test/standins/entry-harness.js';
import {decodeDatagram, encodeDatagram, toEvent} from './datagram-codec.js';

const sent = beacon({loads: [['t1', 3, 900]], leavingCopies: [{targetId: 't1', model: 'm0', forMs: 900}]});

test('a beacon and an announcement arrive as they were sent, a beacon in less than half of its bytes', () => {
	assert.deepEqual(decodeDatagram(encodeDatagram(sent)), sent);
	const announcement = {from: 'a', loads: [['t1', 2, 500]]} as const;
	assert.deepEqual(decodeDatagram(encodeDatagram(announcement)), announcement);
	assert.ok(encodeDatagram(sent).length < JSON.stringify(sent).length / 2);
});

test('a beacon of an earlier release, in plain JSON, is read', () => {
	assert.deepEqual(decodeDatagram(Buffer.from(JSON.stringify(sent))), sent);
});

test('bytes of other programs are ignored, also if they inflate without end', () => {
	for (const bytes of [Buffer.alloc(0), Buffer.from('hello'), Buffer.from('{"a":1}'), deflateRawSync(Buffer.alloc(50_000_000)), Buffer.from([7, 1, 2, 3])]) {
		assert.equal(decodeDatagram(bytes), undefined);
	}
});

test('origins of streams and questions about them arrive as what they are', () => {
	const announcement = {origins: [['s1', 'llm', 'v1']]} as const;
	const query = {streamId: 's1', replyTo: '10.0.0.1:2'};
	assert.deepEqual([announcement, query].map(datagram => toEvent(decodeDatagram(encodeDatagram(datagram))!)), [{kind: 'origins-announced', announcement}, {kind: 'origin-asked', query}]);
});

// Guards against permits that are dropped, or taken for another message, on the way between instances.
test('requests for permits and grants arrive as what they are', () => {
	const request = {
		from: 'a', replyTo: '10.0.0.1:2', targetId: 't', incarnation: 1, perSecond: 2.5, statedAgoMs: 10, wanted: 3, purpose: 'needed',
	} as const;
	const grant = {targetId: 't', inMs: [0, 400], freeInMs: 800};
	assert.deepEqual([request, grant].map(datagram => toEvent(decodeDatagram(encodeDatagram(datagram))!)), [{kind: 'permits-requested', request}, {kind: 'permits-granted', grant}]);
});

// Guards against units of quotas that are lost since their messages are dropped, or taken for others, on the way.
test('asks for units of quotas and grants arrive as what they are', () => {
	const ask = {
		askNumber: 3, from: 'a', boot: 'a-1', replyTo: '10.0.0.1:2', account: 'holder 1', session: 0, upMs: 900, isFirst: true, quotas: [{
			workspace: 'w', needs: [300, 20], used: -40, history: [1, 0, 0, 2],
		}],
	};
	const grant = {
		grantNumber: 3, account: 'holder 1', quotas: [{workspace: 'w', inMs: [0], roomInMs: 90}], levels: {configurationVersion: 1, levels: 'a9'},
	};
	assert.deepEqual([ask, grant].map(datagram => toEvent(decodeDatagram(encodeDatagram(datagram))!)), [{kind: 'quota-asked', ask}, {kind: 'quota-granted', grant}]);
});

// Guards against ends of requests at a stop that no peer hears of, since their message is dropped or taken for another.
test('what a stop has to tell arrives as what it is', () => {
	const announcement = {
		from: 'a', boot: 'a-1', sequence: 2, isClosed: false, cuts: [{
			requestId: 'r1', reason: 'instance-stopped', tries: 'i-1:canceled', closedBy: 'instance',
		}], moreCuts: 0, open: [], moreOpen: 4,
	};
	assert.deepEqual(toEvent(decodeDatagram(encodeDatagram(announcement))!), {kind: 'stop-announced', announcement});
});

// Guards against a datagram of another program whose handling throws, on arrival or in a later tick.
test('what has the form of a stop only in part is taken for a datagram of another program', () => {
	const stop = {
		from: 'b', boot: 'b-1', sequence: 1, isClosed: false, cuts: [], moreCuts: 0, open: [], moreOpen: 0,
	};
	assert.ok(decodeDatagram(Buffer.from(JSON.stringify(stop))));
	for (const odd of [{from: undefined}, {boot: 1}, {sequence: undefined}, {open: undefined}, {cuts: [null]}, {open: [null]}, {cuts: [{requestId: 'r'}]}, {open: [{tries: ''}]}, {cuts: 'x'}]) {
		assert.equal(decodeDatagram(Buffer.from(JSON.stringify({...stop, ...odd}))), undefined, JSON.stringify(odd));
	}
});
