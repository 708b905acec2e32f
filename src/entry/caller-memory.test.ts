/**
The account of what the connections of callers hold: which one is given up.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallerMemory, type MemoryAccount} from './caller-memory.js';

type Connection = {
	readonly account: MemoryAccount;
	isExpendable: boolean;
	isGivenUp: boolean;
};

function open(memory: CallerMemory, bytes: number, isExpendable = true): Connection {
	const connection = {
		isExpendable,
		isGivenUp: false,
		giveUp() {
			connection.isGivenUp = true;
		},
	};
	const account = memory.open(connection);
	account.resize(bytes);
	return Object.assign(connection, {account});
}

// Guards against a crowd of large bodies that has ordinary requests refused.
test('beyond the limit the largest connection is given up, and the others go on', () => {
	const memory = new CallerMemory({maxBytes: 1000});
	const large = open(memory, 600);
	const small = open(memory, 10);
	const other = open(memory, 500);
	assert.deepEqual([large, small, other].map(({isGivenUp}) => isGivenUp), [true, false, false]);
	assert.equal(memory.totalBytes, 510);
	large.account.resize(700);
	assert.equal(memory.totalBytes, 510);
});

test('a connection whose request is being served is not given up, and shrinking gives none up', () => {
	const memory = new CallerMemory({maxBytes: 1000});
	const served = open(memory, 900, false);
	const arriving = open(memory, 50);
	served.account.resize(1200);
	assert.deepEqual([served.isGivenUp, arriving.isGivenUp], [false, true]);
	const next = open(memory, 0);
	served.account.resize(1100);
	assert.equal(next.isGivenUp, false);
});

test('what a closed connection held is free', () => {
	const memory = new CallerMemory({maxBytes: 1000});
	const first = open(memory, 900);
	memory.close(first.account);
	memory.close(first.account);
	assert.equal(open(memory, 900).isGivenUp, false);
	assert.equal(memory.totalBytes, 900);
});
