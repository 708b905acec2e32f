/**
Step definitions for the replay of golden sessions.
*/
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Effect} from '../../../src/core/effect.js';
import {type Event} from '../../../src/core/event.js';
import {reduce} from '../../../src/core/reducer.js';
import {createState} from '../../../src/core/state.js';
import {recordSession} from '../../golden/sessions.js';

type SessionWorld = {
	sessionName: string;
	recordedText: string;
	replayedText: string;
};

Given('the golden session {string}', function (this: SessionWorld, name: string) {
	this.sessionName = name;
	this.recordedText = readFileSync(new URL(`../../golden/${name}.jsonl`, import.meta.url), 'utf8');
});

When('its events are replayed through the reducer on a new state', function (this: SessionWorld) {
	const state = createState();
	const lines = this.recordedText.trimEnd().split('\n').map(line => {
		const {event} = JSON.parse(line) as {event: Event; effects: Effect[]};
		return JSON.stringify({event, effects: reduce(state, event)});
	});
	this.replayedText = `${lines.join('\n')}\n`;
});

Then('every event yields the recorded effects, byte for byte', function (this: SessionWorld) {
	assert.ok(this.recordedText.length > 1000);
	assertSameLines(this.replayedText, this.recordedText);
});

Then('running the session\'s script again reproduces the file', function (this: SessionWorld) {
	assertSameLines(recordSession(this.sessionName), this.recordedText);
});

/** Compares line by line, so that a failure shows only the first line that differs. */
function assertSameLines(actual: string, expected: string): void {
	const expectedLines = expected.split('\n');
	for (const [index, line] of actual.split('\n').entries()) {
		assert.equal(line, expectedLines[index], `line ${index + 1}`);
	}

	assert.equal(actual.length, expected.length);
}
