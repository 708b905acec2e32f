/**
Storage of recorded answers: small bodies go into the row of the claim, large ones into
the object store, to which they are uploaded in the background with retries.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {type RecordedAnswer} from '../core/request/types.js';
import {type Daemon} from './daemon.js';
import {type BufferedResponse} from './gateways/types.js';

/** Largest body that is stored in the row of a claim. */
const MAX_ROW_BODY_BYTES = 16 * 1024;
const MIN_UPLOAD_RETRY_DELAY_MS = 1000;
const MAX_UPLOAD_RETRY_DELAY_MS = 30_000;
const MAX_UPLOAD_ATTEMPTS = 50;

export function recordAnswer(daemon: Daemon, requestId: string, response: BufferedResponse): RecordedAnswer {
	const {status, contentType, body} = response;
	if (body.length <= MAX_ROW_BODY_BYTES) {
		return {status, contentType, body: body.toString('base64')};
	}

	const objectKey = `answers/${requestId}`;
	void upload(daemon, objectKey, body);
	return {status, contentType, objectKey};
}

async function upload(daemon: Daemon, objectKey: string, body: Buffer): Promise<void> {
	let delayMs = MIN_UPLOAD_RETRY_DELAY_MS;
	for (let attempts = 0; attempts < MAX_UPLOAD_ATTEMPTS; attempts++) {
		if (await daemon.platform.objects.put(objectKey, body)) {
			return;
		}

		await sleep(delayMs, undefined, {ref: false});
		delayMs = Math.min(MAX_UPLOAD_RETRY_DELAY_MS, delayMs * 2);
	}
}

/** The body of a recorded answer; undefined if the object store does not return it. */
export async function readRecordedAnswer(daemon: Daemon, answer: RecordedAnswer): Promise<Buffer | undefined> {
	return answer.objectKey === undefined
		? Buffer.from(answer.body ?? '', 'base64')
		: daemon.platform.objects.get(answer.objectKey);
}
