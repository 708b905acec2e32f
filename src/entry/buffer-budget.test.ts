/**
The memory of incomplete responses is bounded by their sum.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BufferBudget} from './buffer-budget.js';

test('the largest holder is given up when the sum exceeds the limit, and its memory counts no longer', () => {
	const givenUp: string[] = [];
	const budget = new BufferBudget(100);
	const holders = ['a', 'b', 'c'].map(name => ({
		destroy() {
			givenUp.push(name);
		},
	}));
	const [a, b, c] = [holders[0]!, holders[1]!, holders[2]!];
	budget.hold(a, 50);
	budget.hold(b, 30);
	budget.hold(a, 60);
	assert.deepEqual(givenUp, []);
	budget.hold(c, 20);
	assert.deepEqual(givenUp, ['a']);
	budget.release(b);
	budget.hold(c, 100);
	assert.deepEqual(givenUp, ['a']);
	budget.hold(c, 101);
	assert.deepEqual(givenUp, ['a', 'c']);
});
