/**
The memory of responses is bounded by their sum: beyond it they wait, one goes on, and one
that hardly moves is given up while others wait.
*/
import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {type BufferAccount, BufferBudget} from './buffer-budget.js';

const MAX_BYTES = 100;
const MEGABYTE = 1024 * 1024;

function openAccounts(count: number, maxBytes = MAX_BYTES): {accounts: BufferAccount[]; givenUp: number[]} {
	const budget = new BufferBudget({maxBytes, freeBytes: 0, monotonicMs: () => performance.now()});
	const givenUp: number[] = [];
	const accounts = Array.from({length: count}, (_, index) => budget.open(() => {
		givenUp.push(index);
		accounts[index]!.close();
	}));
	return {accounts, givenUp};
}

async function isWaiting(promise: Promise<void> | undefined): Promise<boolean> {
	return promise !== undefined && await Promise.race([promise, setImmediate('waiting')]) === 'waiting';
}

test('beyond the limit one response goes on and the others wait until it has ended', async () => {
	const {accounts: [a, b, c]} = openAccounts(3);
	assert.equal(a!.resize(60), undefined);
	assert.equal(b!.resize(40), undefined);
	assert.equal(await isWaiting(a!.resize(90)), false, 'the first one may exceed the limit');
	const waiting = b!.resize(80);
	assert.ok(await isWaiting(waiting));
	const small = c!.resize(10);
	assert.ok(await isWaiting(small));
	assert.equal(await isWaiting(a!.resize(120)), false);
	a!.close();
	assert.equal(await isWaiting(small), false);
	assert.equal(await isWaiting(waiting), false);
	assert.equal(b!.bytes + c!.bytes, 90);
});

test('small parts of a response are not counted and never wait', () => {
	const budget = new BufferBudget({maxBytes: MAX_BYTES, freeBytes: 10, monotonicMs: () => 0});
	const large = budget.open(() => undefined);
	assert.equal(large.resize(110), undefined);
	assert.equal(budget.open(() => undefined).resize(10), undefined);
});

test('a wait ends when nothing more will be read', async () => {
	const {accounts: [a, b]} = openAccounts(2);
	void a!.resize(100);
	void a!.resize(110);
	const first = b!.resize(10);
	void a!.resize(90);
	b!.stopWaiting();
	assert.equal(await isWaiting(first), false);
});

// Guards against responses that all wait for each other, and against a sum beyond the limit and one response.
test('whatever responses take and end, the sum is bounded, and each wait ends once the others have ended', async () => {
	const step = fc.record({index: fc.nat({max: 5}), bytes: fc.integer({min: 0, max: 80}), closes: fc.boolean()});
	await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 60}), async steps => {
		const {accounts} = openAccounts(6);
		const waits = new Map<number, Promise<void>>();
		for (const {index, bytes, closes} of steps) {
			const account = accounts[index]!;
			if (closes) {
				account.close();
				waits.delete(index);
			} else if (!await isWaiting(waits.get(index))) {
				const wait = account.resize(bytes);
				if (wait) {
					waits.set(index, wait);
				}
			}

			const sum = accounts.reduce((total, account) => total + account.bytes, 0);
			assert.ok(sum <= MAX_BYTES + 80, `${sum} bytes`);
		}

		const stillWaiting = [];
		for (const [index, wait] of waits) {
			if (await isWaiting(wait)) {
				stillWaiting.push(index);
			}
		}

		assert.ok(stillWaiting.length < accounts.length, 'one goes on');
		for (const [index, account] of accounts.entries()) {
			if (!stillWaiting.includes(index)) {
				account.close();
			}
		}

		// Only one of them may exceed the limit at a time, and goes on first.
		const remaining = new Set(stillWaiting);
		while (remaining.size > 0) {
			const granted = [];
			for (const index of remaining) {
				if (!await isWaiting(waits.get(index))) {
					granted.push(index);
				}
			}

			assert.ok(granted.length > 0, `all of ${[...remaining].join(', ')} wait`);
			for (const index of granted) {
				accounts[index]!.close();
				remaining.delete(index);
			}
		}
	}), {numRuns: 300});
});

// Guards against callers that read nothing and so keep the memory that others wait for.
test('while others wait, the largest response that hardly moves is given up', {timeout: 10_000}, async () => {
	const {accounts, givenUp} = openAccounts(4, 10 * MEGABYTE);
	const [still, stillSmall, moving, waiting] = accounts;
	void still!.resize(4 * MEGABYTE);
	void stillSmall!.resize(MEGABYTE);
	void moving!.resize(5 * MEGABYTE);
	let taken = 0;
	const mover = setInterval(() => {
		taken += MEGABYTE / 8;
		void moving!.resize((5 * MEGABYTE) - taken);
		void moving!.resize(5 * MEGABYTE);
	}, 50);
	// Takes the right to exceed the limit.
	await moving!.resize((5 * MEGABYTE) + 1);
	await waiting!.resize(3 * MEGABYTE);
	clearInterval(mover);
	assert.deepEqual(givenUp, [0]);
});

test('a response that does not move is kept while no other one waits', async () => {
	const {accounts: [still, other], givenUp} = openAccounts(2, 10 * MEGABYTE);
	void still!.resize(6 * MEGABYTE);
	void other!.resize(4 * MEGABYTE);
	await new Promise(resolve => {
		setTimeout(resolve, 1500);
	});
	assert.deepEqual(givenUp, []);
});
