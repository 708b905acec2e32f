/**
Steps of the scenario with processes of their own. They wait for conditions and
assert no timings.
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
import {type Answer} from './deployment-steps.js';

type ProcessState = {
	processes: ProcessDeployment | undefined;
	keys: string[];
	paused: DaemonProcess;
	stopping: DaemonProcess;
	streamed: Promise<Answer>;
};

const SIGN_OFFS = 12;
const PROMPT = 'trench';

async function post(daemon: DaemonProcess | undefined, path: string, body: unknown, headers: Record<string, string> = {}): Promise<Answer> {
	const answer = await request(`${daemon?.callerUrl}${path}`, {
		method: 'POST',
		headers: {'content-type': 'application/json', ...headers},
		body: JSON.stringify(body),
	});
	return {status: answer.statusCode, text: await answer.body.text()};
}

async function signOff(daemon: DaemonProcess | undefined, key: string, deadlineMs = 8000): Promise<Answer> {
	return post(daemon, '/services/records/signoffs', {}, {'idempotency-key': key, 'x-deadline-ms': String(deadlineMs)});
}

async function signOffIfAlive(daemon: DaemonProcess | undefined, key: string): Promise<void> {
	try {
		await signOff(daemon, key);
	} catch {
		// The process died with the connection.
	}
}

async function ask(daemon: DaemonProcess | undefined, stream = false): Promise<Answer> {
	return post(daemon, '/v1/chat/completions', {model: 'verdict', stream, messages: [{role: 'user', content: PROMPT}]});
}

function running(state: ProcessState): ProcessDeployment {
	assert.ok(state.processes);
	return state.processes;
}

function entriesOf(state: ProcessState, key: string): number {
	return running(state).services.reduce((sum, service) => sum + (service.entryCounts.get(key) ?? 0), 0);
}

async function allReachable(deployment: ProcessDeployment): Promise<boolean> {
	const statuses = await Promise.all(deployment.aliveDaemons.map(async daemon => daemon.status()));
	return statuses.every(({models}) => models.configured === 2 && models.reachable === 2);
}

/** The one holder of a zone's lease, undefined while there is none or more than one. */
async function holder(deployment: ProcessDeployment, zone: string, except?: DaemonProcess): Promise<DaemonProcess | undefined> {
	const found: DaemonProcess[] = [];
	for (const daemon of deployment.aliveDaemons.filter(other => other.zone === zone && other !== except)) {
		const {leases} = await daemon.status();
		if (leases.some(({held}) => held)) {
			found.push(daemon);
		}
	}

	return found.length === 1 ? found[0] : undefined;
}

After(async function (this: ProcessState) {
	await this.processes?.close();
});

Given('four daemon processes in two zones with stand-ins', async function (this: ProcessState) {
	this.processes = await ProcessDeployment.start();
	this.keys = [];
	await this.processes.waitUntil(async () => allReachable(running(this)));
});

When('one process is killed while sign-offs run', async function (this: ProcessState) {
	const deployment = running(this);
	const victim = deployment.daemons[1]!;
	for (const service of deployment.services) {
		service.delayMs = 100;
	}

	const sent = Array.from({length: SIGN_OFFS}, async (_, index) => {
		const key = `kill-${index}`;
		this.keys.push(key);
		// The killed process breaks its connections; that is not an answer.
		await signOffIfAlive(index % 2 === 0 ? victim : deployment.daemons[index % 4], key);
	});
	await deployment.waitUntil(() => this.keys.some(key => entriesOf(this, key) > 0));
	victim.signal('SIGKILL');
	await Promise.all(sent);
	await deployment.waitUntil(() => !victim.isAlive);
});

Then('every sign-off has run at most once and can be asked about', async function (this: ProcessState) {
	for (const key of this.keys) {
		const answers = await Promise.all(running(this).aliveDaemons.map(async daemon => signOff(daemon, key, 1500)));
		for (const {status, text} of answers) {
			const isUnknown = status === 409 && (JSON.parse(text) as {ran: string}).ran === 'unknown';
			assert.ok(status === 200 || isUnknown, `${key}: ${status} ${text}`);
		}

		assert.ok(entriesOf(this, key) <= 1, `${key} ran ${entriesOf(this, key)} times`);
	}
});

When('the holder of a zone\'s lease is paused until another one holds it, and wakes', async function (this: ProcessState) {
	const deployment = running(this);
	const zone = zones[1];
	await deployment.waitUntil(async () => await holder(deployment, zone) !== undefined);
	this.paused = (await holder(deployment, zone))!;
	this.paused.signal('SIGSTOP');
	await deployment.waitUntil(async () => await holder(deployment, zone, this.paused) !== undefined);
	this.paused.signal('SIGCONT');
});

Then('exactly one process holds the lease', async function (this: ProcessState) {
	const deployment = running(this);
	await deployment.waitUntil(async () => {
		const held = await holder(deployment, zones[1]);
		return held !== undefined && held !== this.paused;
	});
	await deployment.waitUntil(async () => allReachable(deployment));
});

When('the platform goes down', function (this: ProcessState) {
	running(this).platform.isDown = true;
});

Then('models answer and a sign-off is refused as not run', async function (this: ProcessState) {
	const {aliveDaemons: alive} = running(this);
	const answers = await Promise.all(alive.map(async daemon => ask(daemon)));
	assert.deepEqual(answers.map(({status}) => status), alive.map(() => 200));
	const refused = await signOff(alive[0], 'outage', 1000);
	assert.equal((JSON.parse(refused.text) as {ran: string}).ran, 'no');
	assert.equal(entriesOf(this, 'outage'), 0);
});

When('the platform comes back', function (this: ProcessState) {
	running(this).platform.isDown = false;
});

Then('that sign-off runs once', async function (this: ProcessState) {
	const deployment = running(this);
	await deployment.waitUntil(async () => {
		const {status} = await signOff(deployment.aliveDaemons[0], 'outage');
		return status === 200;
	});
	const repeated = await signOff(deployment.aliveDaemons.at(-1), 'outage');
	assert.equal(repeated.status, 200);
	assert.equal(entriesOf(this, 'outage'), 1);
});

When('the zones lose each other and one of them the platform', function (this: ProcessState) {
	running(this).partition(zones[1]);
});

When('a version is accepted meanwhile', async function (this: ProcessState) {
	const deployment = running(this);
	await deployment.waitUntil(async () => await deployment.submit(1, {callers: {night: {priority: 'batch'}}}) !== 503);
	await deployment.waitUntil(() => deployment.daemons[0]?.adoptedVersions.at(-1) === 2);
});

Then('both zones answer from what they hold', async function (this: ProcessState) {
	for (const daemon of running(this).aliveDaemons) {
		const {status} = await ask(daemon);
		assert.equal(status, 200, daemon.id);
	}
});

When('the zones meet again', function (this: ProcessState) {
	running(this).healPartition();
});

Then('the version is in force at every process and none went back', async function (this: ProcessState) {
	const deployment = running(this);
	await deployment.waitUntil(() => deployment.aliveDaemons.every(({adoptedVersions: versions}) => versions.at(-1) === 2));
	for (const {adoptedVersions: versions} of deployment.daemons) {
		assert.deepEqual(versions, versions.toSorted((a, b) => a - b));
	}
});

When('a process is asked to stop while it streams', async function (this: ProcessState) {
	const deployment = running(this);
	this.stopping = deployment.aliveDaemons[0]!;
	const before = deployment.engines.reduce((sum, engine) => sum + engine.executedPrompts.length, 0);
	this.streamed = ask(this.stopping, true);
	await deployment.waitUntil(() => deployment.engines.reduce((sum, engine) => sum + engine.executedPrompts.length, 0) > before);
	this.stopping.signal('SIGTERM');
});

Then('the stream comes whole and the process exits with 0', async function (this: ProcessState) {
	const exited = once(this.stopping.child, 'exit');
	const {text} = await this.streamed;
	const words = [...text.matchAll(/"content":"(?<word>[^"]+)"/gv)].map(match => match.groups?.word ?? '');
	assert.equal(words.join(''), answerWords(PROMPT, ANSWER_WORDS).join(''));
	assert.ok(text.endsWith('data: [DONE]\n\n'));
	const [code] = await exited as [number];
	assert.equal(code, 0);
});

Then('no engine ever held more than its memory', function (this: ProcessState) {
	for (const engine of running(this).engines) {
		assert.ok(engine.peakMemoryMb <= ENGINE_MEMORY_MB);
	}
});
