/**
Memory that bodies in small chunks take before they are refused for their size.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {createEngineClient} from '../../platform/engine-client.js';
import {createRowStore} from '../../platform/row-store.js';
import {EndlessServer, type EndlessPart} from '../standins/endless-answers.js';

/** A few times the largest content: 4 MB of the store, 1 MB of each report. */
const STORE_BYTES_MAX = 64 * 1024 * 1024;
const REPORTS = 40;
const REPORTS_BYTES_MAX = 128 * 1024 * 1024;
const SAMPLE_INTERVAL_MS = 5;
const smallChunks: EndlessPart = {beginning: () => 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', repeated: '5\r\naaaaa\r\n'};

async function startServer(t: TestContext): Promise<string> {
	const server = await new EndlessServer(smallChunks).start();
	t.after(() => {
		server.stop();
	});
	return server.address;
}

/** Heap and buffers that are taken at most while something runs, above those before. */
async function measureBytes(run: () => Promise<unknown>): Promise<number> {
	const takenBytes = () => {
		const {heapUsed, external} = process.memoryUsage();
		return heapUsed + external;
	};

	const before = takenBytes();
	let most = before;
	const sampler = setInterval(() => {
		most = Math.max(most, takenBytes());
	}, SAMPLE_INTERVAL_MS);
	await run();
	most = Math.max(most, takenBytes());
	clearInterval(sampler);
	return most - before;
}

// Guards against a list of small pieces that takes many times the length of the body, up to the memory of an instance.
test('a store that answers in chunks of five bytes without end takes a bounded amount of memory', async t => {
	const store = createRowStore(await startServer(t));
	t.after(async () => store.close());
	const bytes = await measureBytes(async () => store.read('op'));
	assert.ok(bytes < STORE_BYTES_MAX, `${Math.round(bytes / 1024 / 1024)} MB`);
});

test('engines that report in chunks of five bytes without end take a bounded amount of memory', async t => {
	const address = await startServer(t);
	const engines = createEngineClient();
	t.after(async () => engines.close());
	const bytes = await measureBytes(async () => Promise.all(Array.from({length: REPORTS}, async () => engines.fetchReport(address, 'i-1'))));
	assert.ok(bytes < REPORTS_BYTES_MAX, `${Math.round(bytes / 1024 / 1024)} MB`);
});
