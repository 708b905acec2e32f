/**
What the log says of requests that get no whole response, and of errors of this instance:
each has a line with the id of the request, or with its connection if there is none, and
the reason.
*/
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type LogEventName} from '../../src/core/log-events.js';
import {type CallerConnection} from '../../src/entry/caller-connection.js';
import {
	responseHead, ScriptedDeployment, waitUntil, type Script,
} from '../standins/scripted-deployment.js';

type Line = Readonly<Record<string, unknown>> & {readonly event: LogEventName};

const LARGE_BYTES = 6 * 1024 * 1024;

async function start(t: TestContext, script: Script): Promise<{readonly deployment: ScriptedDeployment; readonly lines: Line[]}> {
	const deployment = await ScriptedDeployment.start({script});
	const lines: Line[] = [];
	const write = deployment.daemon.log.write.bind(deployment.daemon.log);
	deployment.daemon.log.write = (event, fields) => {
		lines.push({event, ...fields});
		write(event, fields);
	};

	t.after(async () => deployment.stop());
	return {deployment, lines};
}

function answer(body: string): Script {
	return (socket, {id}) => {
		socket.write(`${responseHead(id, `Content-Length: ${body.length}`)}${body}`);
	};
}

function linesOf(lines: readonly Line[], requestId: string): Line[] {
	return lines.filter(line => line.requestId === requestId && ['request-refused', 'request-ended', 'request-unanswered'].includes(line.event));
}

// Guards against requests of which the log doesn't tell how they ended: those that were open when their instance stopped.
test('a request that is open when the process stops has a line', async t => {
	const {deployment, lines} = await start(t, () => undefined);
	deployment.connect().send('/sign/1', 'open');
	await waitUntil(() => deployment.received === 1);
	await deployment.daemon.stop();
	const [line] = linesOf(lines, 'open');
	assert.equal(line?.reason, 'process-stopped');
	assert.equal(line?.outcome, 'open');
	assert.equal(typeof line?.openForMs, 'number');
});

test('a response that its caller has not taken, and a request whose body is not whole, have a line', async t => {
	const {deployment, lines} = await start(t, answer('x'.repeat(LARGE_BYTES)));
	const slow = deployment.connect();
	slow.socket.pause();
	slow.send('/sign/1', 'unread');
	await waitUntil(() => lines.some(({event}) => event === 'request-answered'));
	slow.socket.destroy();
	await waitUntil(() => linesOf(lines, 'unread').length > 0);
	assert.equal(linesOf(lines, 'unread')[0]?.reason, 'answer-unread');

	const partial = deployment.connect();
	partial.socket.write('POST /sign/1 HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: partial\r\nContent-Length: 10\r\n\r\nx');
	await delay(50);
	partial.socket.destroy();
	await waitUntil(() => linesOf(lines, 'partial').length > 0);
	assert.equal(linesOf(lines, 'partial')[0]?.reason, 'body-incomplete');
});

test('a stream that is broken off has a line that says so', async t => {
	const {deployment, lines} = await start(t, (socket, {id}) => {
		socket.write(`${responseHead(id, 'Content-Type: text/event-stream')}id: 1\ndata: x\n\n`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 50);
		});
	});
	const caller = deployment.connect();
	caller.send('/ask/1', 'broken');
	await waitUntil(() => caller.isClosed);
	const [line] = linesOf(lines, 'broken');
	assert.equal(line?.event, 'request-ended');
	assert.equal(line?.isBrokenOff, true);
});

test('each error that this instance answers by itself has a line with what it was decided by', async t => {
	const {deployment, lines} = await start(t, () => undefined);
	const open = deployment.connect();
	open.send('/sign/1', 'twin');
	await waitUntil(() => deployment.received === 1);
	const twin = deployment.connect();
	twin.send('/sign/1', 'twin');
	await twin.waitFor('request-open');
	const refused = linesOf(lines, 'twin')[0];
	assert.equal(refused?.code, 'request-open');
	assert.match(twin.text, /^HTTP\/1\.1 502 /v);
	assert.equal(refused?.path, '/sign/1');
	assert.equal(typeof refused?.openForMs, 'number');

	const unknown = deployment.connect();
	unknown.send('/nowhere/1', 'unknown');
	await unknown.waitFor('path-unknown');
	const [outdated] = linesOf(lines, 'unknown');
	assert.equal(outdated?.configurationVersion, 3);
	assert.equal(typeof outdated?.configurationAgeMs, 'number');

	const large = deployment.connect();
	large.send('/nowhere/1', 'before-large');
	await large.waitFor('path-unknown');
	large.socket.write('POST /sign/1 HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: large\r\nContent-Length: 20000\r\n\r\n');
	large.socket.write('x'.repeat(20_000));
	await large.waitFor('body-too-large');
	assert.equal(linesOf(lines, 'large')[0]?.code, 'body-too-large');
	assert.equal(linesOf(lines, 'large')[0]?.earlierRequests, 1);

	const malformed = deployment.connect();
	malformed.send('/nowhere/1', 'before');
	await malformed.waitFor('path-unknown');
	const {localPort} = malformed.socket;
	malformed.socket.write('no request\r\n\r\n');
	await malformed.waitFor('request-malformed');
	const rejected = lines.find(({code}) => code === 'request-malformed');
	assert.equal(rejected?.earlierRequests, 1);
	assert.equal(rejected?.remotePort, localPort);
});

// Guards against an answer that ends with its connection and that no line names: the core has ended the request in a task that failed.
test('a request whose answer had begun and that an error of this instance ends has a line', async t => {
	const {deployment, lines} = await start(t, (socket, {id}) => {
		socket.write(`${responseHead(id, 'Content-Type: text/event-stream')}id: 1\ndata: x\n\n`);
	});
	const caller = deployment.connect();
	caller.send('/ask/1', 'lost');
	await caller.waitFor('data: x');
	deployment.daemon.state.open.delete('lost');
	deployment.daemon.failLostRequests();
	await waitUntil(() => linesOf(lines, 'lost').length > 0 && caller.isClosed);
	const [line, ...others] = linesOf(lines, 'lost');
	assert.deepEqual([line?.reason, line?.closedBy, line?.headSent, others.length], ['exception', 'instance', true, 0]);
});

// Guards against a request that is said to have been left by its caller where this instance has closed its connection.
test('a request that is given up for others is not said to have been left by its caller', async t => {
	const {deployment, lines} = await start(t, () => undefined);
	const caller = deployment.connect();
	caller.send('/sign/1', 'first');
	await waitUntil(() => deployment.received === 1);
	const [connection] = (deployment.daemon.callerListener as unknown as {_connections: Map<unknown, CallerConnection>})._connections.values();
	caller.send('/sign/1', 'second');
	await delay(50);
	connection!.giveUp();
	await waitUntil(() => linesOf(lines, 'first').some(({event}) => event === 'request-ended'));
	const line = linesOf(lines, 'first').find(({event}) => event === 'request-ended');
	assert.deepEqual([line?.reason, line?.closedBy], ['input-overload', 'instance']);
});

// Guards against lines without a limit, which leave no room for those that must not be lost: of requests whose targets fail, and that get a whole answer of this instance.
test('the line of a request that got a whole answer of this instance keeps its limit while the instance serves', async t => {
	const {deployment} = await start(t, socket => {
		socket.destroy();
	});
	const limited = new Map<LogEventName, boolean>();
	const write = deployment.daemon.log.write.bind(deployment.daemon.log);
	deployment.daemon.log.write = (event, fields, options) => {
		if (fields.requestId === 'failed') {
			limited.set(event, options?.isUrgent !== true);
		}

		write(event, fields, options);
	};

	const caller = deployment.connect();
	caller.send('/sign/1', 'failed');
	await caller.waitFor('HTTP/1.1 502');
	await waitUntil(() => limited.has('request-ended'));
	assert.equal(limited.get('request-ended'), true);
});

// Guards against two lines for one end.
test('a caller that leaves before its request is passed on has one line', async t => {
	const {deployment, lines} = await start(t, () => undefined);
	const {state} = deployment.daemon;
	state.targets.clear();
	const caller = deployment.connect();
	caller.send('/sign/1', 'waiting');
	await waitUntil(() => state.open.has('waiting'));
	caller.socket.destroy();
	await waitUntil(() => !state.open.has('waiting'));
	await delay(50);
	assert.deepEqual(linesOf(lines, 'waiting').map(({event, outcome}) => [event, outcome]), [['request-ended', 'caller-left']]);
});

// Guards against a refusal that counts as an answer that was cut off.
test('a request that ends with a whole refusal after its target failed is said to have had no answer that began', async t => {
	const {deployment, lines} = await start(t, socket => {
		socket.resetAndDestroy();
	});
	const caller = deployment.connect();
	caller.send('/sign/1', 'reset');
	await caller.waitFor('\r\n\r\n');
	const [line] = linesOf(lines, 'reset');
	assert.deepEqual([line?.reason, line?.headSent, line?.isBrokenOff], ['may-have-run', false, false]);
	assert.match(caller.text, /^HTTP\/1\.1 502 /v);
});
