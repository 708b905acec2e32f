import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {headerCodec} from '../../platform/header-codec.js';
import {createEngineClient} from '../../platform/engine-client.js';
import {documents} from '../../platform/documents.js';
import {createRowStore} from '../../platform/row-store.js';
import {systemClock} from '../../src/core/clock.js';
import {EntryDaemon} from '../../src/entry/entry-daemon.js';
import {EntryLog} from '../../src/entry/entry-log.js';
import {entrySettingsSchema} from '../../src/entry/settings.js';
import {FakeStore} from '../standins/fake-store-and-runner.js';
import {freePorts} from '../standins/free-ports.js';

const cfg = (limits = {}) => ({
	version: 3,
	routes: [
		{name: 'sign', host: 'a.example', prefix: '/sign/', kind: 'non_idempotent', timeoutMs: 20_000, targetLatencyMs: 200, priority: 1, service: 'records', maxAttempts: 1},
		{name: 'read', host: 'a.example', prefix: '/read/', kind: 'idempotent', timeoutMs: 20_000, targetLatencyMs: 5000, priority: 1, service: 'records', maxAttempts: 2},
		{name: 'ask', host: 'a.example', prefix: '/ask/', kind: 'streaming', timeoutMs: 20_000, targetLatencyMs: 3000, priority: 0, service: 'records', maxAttempts: 2, resumable: true, gapAimMs: 1500},
	],
	services: [{name: 'records', maxConns: 100}],
	limits: {maxHeaderBytes: 4096, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000, ...limits},
});

type Handler = (socket: Socket, head: string, id: string) => void;

async function rig(handler: Handler, limits = {}) {
	const store = new FakeStore();
	const storeAddress = await store.start();
	const received: string[] = [];
	const sockets = new Set<Socket>();
	const runners = await Promise.all(['i-1', 'i-2'].map(async id => new Promise<{id: string; address: string; server: ReturnType<typeof createServer>}>(resolve => {
		const server = createServer(socket => {
			sockets.add(socket);
			let text = '';
			socket.on('error', () => undefined);
			socket.on('data', data => {
				text += data.toString('latin1');
				const end = text.indexOf('\r\n\r\n');
				if (end >= 0) {
					const head = text.slice(0, end);
					text = '';
					if (head.startsWith('GET /v1/report')) {
						socket.end('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
						return;
					}
					received.push(head);
					handler(socket, head, /x-pollenarch-request-id: (\S+)/i.exec(head)![1]!);
				}
			});
		});
		server.listen(0, '127.0.0.1', () => resolve({id, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server}));
	})));
	for (const {id, address} of runners) {
		store.put('servers', id, {service: 'records', address, zone: 'north', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 0, born: 1, models: []});
	}
	store.put('op', 'config', cfg(limits));
	const [callers, readiness, peers, beacons] = await freePorts(4);
	const log = new EntryLog({level: 'silent', instanceId: 'one', clock: systemClock});
	const daemon = await EntryDaemon.start({
		settings: entrySettingsSchema.parse({
			instance: {id: 'one', zone: 'north'},
			listen: {callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`, peers: `127.0.0.1:${peers}`, beacons: `127.0.0.1:${beacons}`},
			store: {address: storeAddress},
			bounds: {graceMs: 8000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 1000},
		}),
		deployment: {store: createRowStore(storeAddress), documents, headerCodec, engines: createEngineClient()},
		log,
	});
	const seen: string[] = [];
	const orig = log.write.bind(log);
	log.write = (event: never, fields: never) => {
		if (['effect-failed', 'request-ended', 'request-refused', 'try-ended', 'configuration-adopted'].includes(event)) seen.push(`${event} ${JSON.stringify(fields)}`);
		orig(event, fields);
	};
	while (!daemon.isReady || daemon.state.targets.size < 2) await delay(20);
	return {store, daemon, received, callers: callers!, seen, async stop() {
		await daemon.stop(); store.stop();
		for (const s of sockets) s.destroy();
		for (const {server} of runners) server.close();
	}};
}

function client(port: number) {
	const socket = connect(port, '127.0.0.1');
	const state = {socket, text: '', closed: false, closedAt: 0, error: ''};
	socket.on('data', d => { state.text += d.toString('latin1'); });
	socket.on('close', () => { state.closed = true; state.closedAt = Date.now(); });
	socket.on('error', e => { state.error = e.message; });
	return state;
}
const reqHead = (path: string, id: string, extra = '') => `POST ${path} HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Request-Deadline: 3000\r\n${extra}`;
const sse = (id: string) => `HTTP/1.1 200 OK\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Server-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const chunk = (t: string) => `${t.length.toString(16)}\r\n${t}\r\n`;
const ok = (id: string, body = 'hello') => `HTTP/1.1 200 OK\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Server-Signature: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
const show = (name: string, c: ReturnType<typeof client>, r: {seen: string[]; received: string[]}) => {
	console.log(`== ${name}: closed=${c.closed} err=${c.error} received=${r.received.length}\n${c.text.slice(0, 500)}\n-- ${r.seen.join('\n-- ')}`);
};


test('C2 closeIdle cuts a response that is being flushed', async () => {
	const big = 'x'.repeat(7_900_000);
	const r = await rig((s, _h, id) => s.end(ok(id, big)));
	const socket = connect({port: r.callers, host: '127.0.0.1'});
	let got = 0; let closedAt = 0; let error = '';
	socket.on('data', d => { got += d.length; });
	socket.on('close', () => { closedAt = Date.now(); });
	socket.on('error', e => { error = e.message; });
	socket.pause();
	socket.write(`${reqHead('/read/1', 'c1', 'Content-Length: 0\r\n')}\r\n`);
	await delay(300);
	const at = Date.now();
	r.daemon.drain();
	await delay(2700);
	console.log('exchanges', r.daemon.exchanges.size, 'state', r.daemon.state.lifecycle);
	socket.resume();
	await delay(1500);
	console.log(`== C2 got ${got} of ${big.length} closed after ${closedAt - at} ${error}`);
	socket.destroy(); await r.stop();
});

test('D2 crossing of the head timeout', async () => {
	const r = await rig((s, _h, id) => { setTimeout(() => s.end(ok(id)), 100); });
	const socket = connect({port: r.callers, host: '127.0.0.1', allowHalfOpen: true});
	const state = {socket, text: '', closed: false, closedAt: 0, error: ''};
	socket.on('data', d => { state.text += d.toString('latin1'); });
	socket.on('end', () => socket.write(`${reqHead('/sign/1', 'd1', 'Content-Length: 0\r\n')}\r\n`));
	socket.on('close', () => { state.closed = true; });
	socket.on('error', e => { state.error = e.message; });
	await delay(3000);
	show('D2', state, r);
	socket.destroy(); await r.stop();
});

test('D3 stalled between accept and head timeout: the request waits in the kernel', async () => {
	const r = await rig((s, _h, id) => { setTimeout(() => s.end(ok(id)), 100); });
	const {execFile} = await import('node:child_process');
	const script = `
		const s=require('net').connect(${r.callers},'127.0.0.1');let t='';s.on('data',d=>t+=d.toString('latin1'));
		s.on('error',e=>console.log('error',e.message));s.on('close',()=>{console.log('closed',t.slice(0,120));process.exit()});
		const q=id=>s.write('POST /sign/1 HTTP/1.1\\r\\nHost: a.example\\r\\nX-Pollenarch-Request-Id: '+id+'\\r\\nX-Pollenarch-Request-Deadline: 3000\\r\\nContent-Length: 0\\r\\n\\r\\n');
		setTimeout(()=>q('f1'),100);setTimeout(()=>{console.log('timeout',t.slice(0,120));process.exit()},4000);`;
	const done = new Promise<string>(resolve => execFile(process.execPath, ['-e', script], (_e, out) => resolve(out)));
	const server = (r.daemon.callerListener as unknown as {_server: import('node:http').Server})._server;
	await new Promise<void>(resolve => server.once('connection', () => resolve()));
	await new Promise(resolve => setImmediate(resolve));
	const until = Date.now() + 1700;
	while (Date.now() < until) { /* blocks */ }
	console.log('== D3', await done, r.received.length, r.seen.join('\n'));
	await r.stop();
});

test('F2 the loop is blocked past the idle timeout while the request waits in the kernel', async () => {
	const r = await rig((s, _h, id) => s.write(ok(id)), {idleTimeoutMs: 1000});
	const {execFile} = await import('node:child_process');
	const script = `
		const s=require('net').connect(${r.callers},'127.0.0.1');let t='';s.on('data',d=>t+=d.toString('latin1'));
		s.on('error',e=>console.log('error',e.message));s.on('close',()=>{console.log('closed',t.split('HTTP/1.1').length-1);process.exit()});
		const q=id=>s.write('POST /read/1 HTTP/1.1\\r\\nHost: a.example\\r\\nX-Pollenarch-Request-Id: '+id+'\\r\\nX-Pollenarch-Request-Deadline: 3000\\r\\nContent-Length: 0\\r\\n\\r\\n');
		q('f1');setTimeout(()=>q('f2'),800);setTimeout(()=>{console.log('answers',t.split('HTTP/1.1').length-1);process.exit()},2000);`;
	const done = new Promise<string>(resolve => execFile(process.execPath, ['-e', script], (_e, out) => resolve(out)));
	while (r.received.length < 1) await delay(5);
	await delay(600);
	await new Promise(resolve => setImmediate(resolve));
	const until = Date.now() + 700;
	while (Date.now() < until) { /* blocks */ }
	console.log('== F2', await done, r.received.length, r.seen.join('\n'));
	await r.stop();
});

test('K announced keep-alive against a limit lowered while the stream runs', async () => {
	const r = await rig((s, _h, id) => { s.write(`${sse(id)}${chunk('id: 1\ndata: x\n\n')}`); setTimeout(() => s.end(`${chunk('id: 2\ndata: x\n\n')}0\r\n\r\n`), 800); });
	const c = client(r.callers);
	c.socket.write(`${reqHead('/ask/1', 'k1', 'Content-Length: 0\r\n')}\r\n`);
	await delay(300);
	r.store.put('op', 'config', {...cfg({idleTimeoutMs: 1000}), version: 5});
	await delay(600);
	const at = Date.now();
	await delay(4000);
	console.log(`== K ${/Keep-Alive: .*/i.exec(c.text)?.[0]} closed=${c.closed} ${c.closedAt - at}`);
	c.socket.destroy(); await r.stop();
});

test('L raised limit and an idle connection', async () => {
	const r = await rig((s, _h, id) => { s.write(ok(id)); }, {idleTimeoutMs: 1500});
	const c = client(r.callers);
	c.socket.write(`${reqHead('/read/1', 'k1', 'Content-Length: 0\r\n')}\r\n`);
	await delay(300);
	const at = Date.now();
	r.store.put('op', 'config', {...cfg({idleTimeoutMs: 5000}), version: 5});
	await delay(3000);
	console.log(`== L ${/Keep-Alive: .*/i.exec(c.text)?.[0]} closed=${c.closed} ${c.closedAt - at}`);
	c.socket.destroy(); await r.stop();
});

test('M a large configuration', async () => {
	const r = await rig((s, _h, id) => { s.write(ok(id)); });
	for (const n of [300, 3000, 10000]) {
	const big = cfg(); 
	for (let i = 0; i < n; i++) big.routes.push({...big.routes[1]!, name: `x${i}`, prefix: `/x${i}/`});
	let worst = 0; let last = performance.now();
	const timer = setInterval(() => { const now = performance.now(); worst = Math.max(worst, now - last); last = now; }, 1);
	await delay(50); worst = 0;
	r.store.put('op', 'config', {...big, version: 5 + n});
	await delay(800);
	clearInterval(timer);
	console.log(`== M ${n} worst block ${worst.toFixed(0)} ms adopted ${r.daemon.state.configuration?.version}`);
	}
	await r.stop();
});
