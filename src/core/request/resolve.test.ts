/**
Selection of the route rule of a request and reading of its idempotency key.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {signOffArrival} from '../../../test/standins/configurations.js';
import {type RouteRule} from '../configuration/types.js';
import {findRule, readKey, repeatRule} from './resolve.js';

const rules: readonly RouteRule[] = [
	{method: 'POST', path: '/orders/checks', repeat: 'idempotent'},
	{
		method: 'POST', path: '/orders', repeat: 'once', key: {from: 'body', pointer: '/order/number'},
	},
	{method: '*', path: '/', repeat: 'idempotent'},
];

test('of the rules with a matching method, the one with the longest prefix of whole path segments is selected', () => {
	assert.equal(findRule(rules, 'POST', '/orders/checks/7')?.path, '/orders/checks');
	assert.equal(findRule(rules, 'POST', '/orders?dry=1')?.path, '/orders');
	assert.equal(findRule(rules, 'POST', '/orders-archive')?.path, '/');
	assert.equal(findRule(rules, 'GET', '/orders')?.path, '/');
});

test('without a rule only safe methods may be repeated', () => {
	assert.equal(repeatRule(undefined, 'GET'), 'idempotent');
	assert.equal(repeatRule(undefined, 'POST'), 'once');
	assert.equal(repeatRule(undefined, 'DELETE'), 'once');
});

test('keys are read from the header or the body and must not be missing, empty or too long', () => {
	const body = {order: {number: 17}};
	assert.equal(readKey({from: 'body', pointer: '/order/number'}, signOffArrival('r', 'h', {keyBody: body})).extract(), '17');
	assert.equal(readKey({from: 'header'}, signOffArrival('r', 'h')).extract(), 'h');
	assert.ok(readKey({from: 'body', pointer: '/order/number'}, signOffArrival('r', 'h', {keyBody: {order: {}}})).isLeft());
	assert.ok(readKey({from: 'header'}, signOffArrival('r', '')).isLeft());
	assert.ok(readKey({from: 'header'}, signOffArrival('r', 'x'.repeat(256))).isLeft());
});
