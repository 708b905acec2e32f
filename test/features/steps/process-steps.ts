/**
Step definitions for the scenario in which each daemon is a separate process. They wait
for conditions and assert no timings.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {request} from 'undici';
import {answerWords} from '../../standins/fake-engine.js';
import {
	ENGINE_MEMORY_MB, ProcessDeployment, ANSWER_WORDS, zones, type DaemonProcess,
} from '../../standins/process-deployment.js';
import {type HttpResponse} from './deployment-steps.js';

type ProcessWorld = {
	processDeployment: ProcessDeployment | undefined;
	idempotencyKeys: string[];
	pausedDaemon: DaemonProcess;
	stoppingDaemon: DaemonProcess;
	pendingStream: Promise<HttpResponse>;
};

const SIGN_OFF_COUNT = 12;
const PROMPT = 'trench';

async function postJson(daemon: DaemonProcess | undefined, path: string, body: unknown, headers: Record<string, string> = {}): Promise<HttpResponse> {
	const response = await request(`${daemon?.callerUrl}${path}`, {
		method: 'POST',
		headers: {'content-type': 'application/json', ...headers},
		body: JSON.stringify(body),
	});
	return {status: response.statusCode, text: await response.body.text()};
}

async function sendSignOff(daemon: DaemonProcess | undefined, key: string, deadlineMs = 8000): Promise<HttpResponse> {
	return postJson(daemon, '/services/records/signoffs', {}, {'idempotency-key': key, 'x-deadline-ms': String(deadlineMs)});
}

async function sendSignOffIgnoringErrors(daemon: DaemonProcess | undefined, key: string): Promise<void> {
	try {
		await sendSignOff(daemon, key);
	} catch {
		// The process was killed before it sent the response.
	}
}

async function sendChatRequest(daemon: DaemonProcess | undefined, stream = false): Promise<HttpResponse> {
	return postJson(daemon, '/v1/chat/completions', {model: 'verdict', stream, messages: [{role: 'user', content: PROMPT}]});
}

function runningDeployment(world: ProcessWorld): ProcessDeployment {
	assert.ok(world.processDeployment);
	return world.processDeployment;
}

function countEntries(world: ProcessWorld, key: string): number {
	return runningDeployment(world).services.reduce((sum, service) => sum + (service.entryCounts.get(key) ?? 0), 0);
}

async function areAllModelsReachable(deployment: ProcessDeployment): Promise<boolean> {
	const statuses = await Promise.all(deployment.aliveDaemons.map(async daemon => daemon.status()));
	return statuses.every(({models}) => models.configured === 2 && models.reachable === 2);
}

/** Returns the only holder of a zone's lease, or undefined if no process or more than one holds it. */
async function findLeaseHolder(deployment: ProcessDeployment, zone: string, excluded?: DaemonProcess): Promise<DaemonProcess | undefined> {
	const holders: DaemonProcess[] = [];
	for (const daemon of deployment.aliveDaemons.filter(other => other.zone === zone && other !== excluded)) {
		const {leases} = await daemon.status();
		if (leases.some(({held}) => held)) {
			holders.push(daemon);
		}
	}

	return holders.length === 1 ? holders[0] : undefined;
}

After(async function (this: ProcessWorld) {
	await this.processDeployment?.close();
});

Given('four daemon processes in two zones with fake engines, services and a fake platform', async function (this: ProcessWorld) {
	this.processDeployment = await ProcessDeployment.start();
	this.idempotencyKeys = [];
	await this.processDeployment.waitUntil(async () => areAllModelsReachable(runningDeployment(this)));
});

When('a process is killed while sign-offs are in flight', async function (this: ProcessWorld) {
	const deployment = runningDeployment(this);
	const killedDaemon = deployment.daemons[1]!;
	for (const service of deployment.services) {
		service.delayMs = 100;
	}

	const pendingSignOffs = Array.from({length: SIGN_OFF_COUNT}, async (_, index) => {
		const key = `kill-${index}`;
		this.idempotencyKeys.push(key);
		// The killed process closes its connections without a response.
		await sendSignOffIgnoringErrors(index % 2 === 0 ? killedDaemon : deployment.daemons[index % 4], key);
	});
	await deployment.waitUntil(() => this.idempotencyKeys.some(key => countEntries(this, key) > 0));
	killedDaemon.signal('SIGKILL');
	await Promise.all(pendingSignOffs);
	await deployment.waitUntil(() => !killedDaemon.isAlive);
});

Then('every sign-off was executed at most once and every live process reports its outcome', async function (this: ProcessWorld) {
	for (const key of this.idempotencyKeys) {
		const responses = await Promise.all(runningDeployment(this).aliveDaemons.map(async daemon => sendSignOff(daemon, key, 1500)));
		for (const {status, text} of responses) {
			const isOutcomeUnknown = status === 409 && (JSON.parse(text) as {ran: string}).ran === 'unknown';
			assert.ok(status === 200 || isOutcomeUnknown, `${key}: ${status} ${text}`);
		}

		assert.ok(countEntries(this, key) <= 1, `${key} was executed ${countEntries(this, key)} times`);
	}
});

When('the holder of a zone\'s lease is paused until another process holds the lease, and is then resumed', async function (this: ProcessWorld) {
	const deployment = runningDeployment(this);
	const zone = zones[1];
	await deployment.waitUntil(async () => await findLeaseHolder(deployment, zone) !== undefined);
	this.pausedDaemon = (await findLeaseHolder(deployment, zone))!;
	this.pausedDaemon.signal('SIGSTOP');
	await deployment.waitUntil(async () => await findLeaseHolder(deployment, zone, this.pausedDaemon) !== undefined);
	this.pausedDaemon.signal('SIGCONT');
});

Then('exactly one process holds the lease', async function (this: ProcessWorld) {
	const deployment = runningDeployment(this);
	await deployment.waitUntil(async () => {
		const holder = await findLeaseHolder(deployment, zones[1]);
		return holder !== undefined && holder !== this.pausedDaemon;
	});
	await deployment.waitUntil(async () => areAllModelsReachable(deployment));
});

When('the platform becomes unavailable', function (this: ProcessWorld) {
	runningDeployment(this).platform.isDown = true;
});

Then('model requests succeed and a sign-off is refused as not executed', async function (this: ProcessWorld) {
	const {aliveDaemons} = runningDeployment(this);
	const responses = await Promise.all(aliveDaemons.map(async daemon => sendChatRequest(daemon)));
	assert.deepEqual(responses.map(({status}) => status), aliveDaemons.map(() => 200));
	const refused = await sendSignOff(aliveDaemons[0], 'outage', 1000);
	assert.equal((JSON.parse(refused.text) as {ran: string}).ran, 'no');
	assert.equal(countEntries(this, 'outage'), 0);
});

When('the platform recovers', function (this: ProcessWorld) {
	runningDeployment(this).platform.isDown = false;
});

Then('the refused sign-off is executed once when retried', async function (this: ProcessWorld) {
	const deployment = runningDeployment(this);
	await deployment.waitUntil(async () => {
		const {status} = await sendSignOff(deployment.aliveDaemons[0], 'outage');
		return status === 200;
	});
	const retried = await sendSignOff(deployment.aliveDaemons.at(-1), 'outage');
	assert.equal(retried.status, 200);
	assert.equal(countEntries(this, 'outage'), 1);
});

When('the zones are partitioned from each other and one of them from the platform', function (this: ProcessWorld) {
	runningDeployment(this).partition(zones[1]);
});

When('a configuration version is accepted during the partition', async function (this: ProcessWorld) {
	const deployment = runningDeployment(this);
	await deployment.waitUntil(async () => await deployment.submit(1, {callers: {night: {priority: 'batch'}}}) !== 503);
	await deployment.waitUntil(() => deployment.daemons[0]?.adoptedVersions.at(-1) === 2);
});

Then('both zones serve model requests from their local state', async function (this: ProcessWorld) {
	for (const daemon of runningDeployment(this).aliveDaemons) {
		const {status} = await sendChatRequest(daemon);
		assert.equal(status, 200, daemon.id);
	}
});

When('the partition heals', function (this: ProcessWorld) {
	runningDeployment(this).healPartition();
});

Then('every live process has adopted the version and no process reverted to an older one', async function (this: ProcessWorld) {
	const deployment = runningDeployment(this);
	await deployment.waitUntil(() => deployment.aliveDaemons.every(({adoptedVersions}) => adoptedVersions.at(-1) === 2));
	for (const {adoptedVersions} of deployment.daemons) {
		assert.deepEqual(adoptedVersions, adoptedVersions.toSorted((a, b) => a - b));
	}
});

When('a process receives SIGTERM while it streams a response', async function (this: ProcessWorld) {
	const deployment = runningDeployment(this);
	this.stoppingDaemon = deployment.aliveDaemons[0]!;
	const executedBefore = deployment.engines.reduce((sum, engine) => sum + engine.executedPrompts.length, 0);
	this.pendingStream = sendChatRequest(this.stoppingDaemon, true);
	await deployment.waitUntil(() => deployment.engines.reduce((sum, engine) => sum + engine.executedPrompts.length, 0) > executedBefore);
	this.stoppingDaemon.signal('SIGTERM');
});

Then('the stream completes and the process exits with code 0', async function (this: ProcessWorld) {
	const exited = once(this.stoppingDaemon.child, 'exit');
	const {text} = await this.pendingStream;
	const receivedWords = [...text.matchAll(/"content":"(?<word>[^"]+)"/gv)].map(match => match.groups?.word ?? '');
	assert.equal(receivedWords.join(''), answerWords(PROMPT, ANSWER_WORDS).join(''));
	assert.ok(text.endsWith('data: [DONE]\n\n'));
	const [code] = await exited as [number];
	assert.equal(code, 0);
});

Then('no engine ever exceeded its memory', function (this: ProcessWorld) {
	for (const engine of runningDeployment(this).engines) {
		assert.ok(engine.peakMemoryMb <= ENGINE_MEMORY_MB);
	}
});
