/**
Steps for golden sessions.
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
	name: string;
	text: string;
	replayed: string;
};

Given('the golden session {string}', function (this: SessionWorld, name: string) {
	this.name = name;
	this.text = readFileSync(new URL(`../../golden/${name}.jsonl`, import.meta.url), 'utf8');
});

When('its events are replayed through a new core', function (this: SessionWorld) {
	const state = createState();
	const lines = this.text.trimEnd().split('\n').map(line => {
		const {event} = JSON.parse(line) as {event: Event; effects: Effect[]};
		return JSON.stringify({event, effects: reduce(state, event)});
	});
	this.replayed = `${lines.join('\n')}\n`;
});

Then('every event has the recorded effects, byte for byte', function (this: SessionWorld) {
	assert.ok(this.text.length > 1000);
	assertSameLines(this.replayed, this.text);
});

Then('running the session\'s script again gives the same file', function (this: SessionWorld) {
	assertSameLines(recordSession(this.name), this.text);
});

/** Compares line by line, so that a difference is shown alone. */
function assertSameLines(actual: string, expected: string): void {
	const expectedLines = expected.split('\n');
	for (const [index, line] of actual.split('\n').entries()) {
		assert.equal(line, expectedLines[index], `line ${index + 1}`);
	}

	assert.equal(actual.length, expected.length);
}
