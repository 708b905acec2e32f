/* eslint-disable no-await-in-loop, no-void -- the steps of a play follow each other, and some go on beside them */
/**
Model runners that take orders for adapters, requests that need ever other adapters, and
the rule ONE for the orders that a runner gets.
*/
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {smallBounds} from './deployment.mjs';
import {send} from './requester.mjs';
import {ModelRunner} from './runner.mjs';

const ADAPTERS = 60;
const ADAPTER_SLOTS = 8;
const SEND_INTERVAL_MS = 16;
/** The order is carried out, or holds already. */
const acceptedStatuses = new Set([200, 202]);
const {leaseMs, thawSlackMs} = smallBounds;

export const configuration = {
	version: 3,
	routes: [{
		name: 'verdict', host: 'ask.example', prefix: '/verdict/', kind: 'streaming', timeoutMs: 4000, targetLatencyMs: 300, priority: 0, service: 'inspect-llm', maxAttempts: 2, resumable: true, gapAimMs: 150,
	}],
	services: [{
		name: 'inspect-llm',
		maxConns: 771,
		engine: {
			slots: 64, weightsMb: 200_000, adapterSlots: ADAPTER_SLOTS, loadsPerS: 1.6, models: [{
				name: 'm0', weightsMb: 72_700, loadTimeS: 4.2, adapters: ADAPTERS, adapterMb: 66,
			}],
		},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

export async function startModelRunners({
	zones, store, record, onEnd,
}) {
	const runners = [];
	for (const [index, zone] of zones.entries()) {
		const runner = await new ModelRunner({
			id: `i-00${index}`, service: 'inspect-llm', zone, slots: 64, store, record, model: 'm0', adapterSlots: ADAPTER_SLOTS,
		}).start();
		onEnd(() => {
			runner.stop();
		});
		runners.push(runner);
	}

	return runners;
}

/** Sends requests to all instances in turn, until the returned function is called. */
export function startAdapterTraffic({deployment, record}) {
	const names = [...deployment.nodes.keys()];
	const end = new AbortController();
	let sent = 0;
	const traffic = (async () => {
		while (!end.signal.aborted) {
			const name = names[sent % names.length];
			void send(deployment.nodes.get(name).ports.front, {
				id: `r${process.pid}-${sent}`,
				host: 'ask.example',
				path: '/verdict/1',
				headers: {'X-Pollenarch-Model': `m0/a${1 + Math.floor(Math.random() * ADAPTERS)}`, 'X-Pollenarch-Token-Usage': '300,20'},
				body: '{}',
				deadlineMs: 4000,
				record,
			});
			sent++;
			await delay(SEND_INTERVAL_MS);
		}
	})();
	return async () => {
		end.abort();
		await traffic;
	};
}

/** The holder that gave the last order. */
export function lastHolder(runners) {
	return runners.flatMap(({orders}) => orders).toSorted((one, other) => one.atMs - other.atMs).at(-1)?.holder;
}

/**
Breaks of ONE at one runner: one epoch of two holders, a lower epoch after a higher one, and
holders that take turns within the term of the lease. Orders that come within the slack after
their sender's link healed do not count, nor do orders that the runner refused.
*/
export function findBreaks(runner, heals = []) {
	const breaks = [];
	const counted = runner.orders.filter(({holder, status, atMs}) => acceptedStatuses.has(status) && !heals.some(heal => heal.name === holder && atMs >= heal.healedAtMs && atMs < heal.healedAtMs + thawSlackMs));
	const holders = new Map();
	const lastAtMs = new Map();
	let highest = {fencingToken: 0};
	let previous;
	for (const order of counted) {
		const {holder, fencingToken, atMs} = order;
		const other = holders.get(fencingToken);
		if (other !== undefined && other !== holder) {
			breaks.push(`${runner.id}: epoch ${fencingToken} of ${other} and of ${holder} at ${atMs.toFixed(0)} ms`);
		}

		holders.set(fencingToken, other ?? holder);
		if (fencingToken < highest.fencingToken) {
			breaks.push(`${runner.id}: epoch ${fencingToken} of ${holder} at ${atMs.toFixed(0)} ms, ${(atMs - highest.atMs).toFixed(0)} ms after the first of epoch ${highest.fencingToken} of ${highest.holder}`);
		} else if (fencingToken > highest.fencingToken) {
			highest = order;
		}

		const ownMs = lastAtMs.get(holder);
		if (previous !== undefined && previous !== holder && ownMs !== undefined && atMs - ownMs < leaseMs) {
			breaks.push(`${runner.id}: orders of ${holder} at ${ownMs.toFixed(0)} and ${atMs.toFixed(0)} ms with others of ${previous} between them`);
		}

		lastAtMs.set(holder, atMs);
		previous = holder;
	}

	return breaks;
}
