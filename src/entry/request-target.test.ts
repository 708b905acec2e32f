import assert from 'node:assert/strict';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {test} from 'node:test';
import {setTarget} from './request-target.js';

function targetOf(target: string, rawHeaders: readonly string[] = ['Host', 'other.example']): readonly unknown[] {
	const request = new IncomingMessage(new Socket());
	request.rawHeaders = [...rawHeaders];
	setTarget(request, target);
	return [request.url, request.headers.host, request.rawHeaders];
}

// Guards against requests whose path, query or host is changed on the way (UNASKED).
test('path and query of an absolute target are kept byte for byte, and its host is that of the request', () => {
	const headers = ['Host', 'a.example:8080'];
	assert.deepEqual(targetOf('http://a.example:8080/read/%2e?q=//x#y'), ['/read/%2e?q=//x#y', 'a.example:8080', headers]);
	assert.deepEqual(targetOf('HTTPS://a.example:8080'), ['/', 'a.example:8080', headers]);
	assert.deepEqual(targetOf('http://a.example:8080?q=1'), ['/?q=1', 'a.example:8080', headers]);
	assert.deepEqual(targetOf('http://a.example:8080/', []), ['/', 'a.example:8080', headers]);
	assert.deepEqual(targetOf('http://a.example:8080/', ['X-A', 'Host', 'host', 'b']), ['/', 'a.example:8080', ['X-A', 'Host', 'host', 'a.example:8080']]);
});

// Guards against other targets that are taken for absolute ones.
test('other targets are left as they are', () => {
	for (const target of ['/read/http://a.example/', '//a.example/', '*', 'http:///read/', 'http://user@a.example/', 'ftp://a.example/', '']) {
		assert.deepEqual(targetOf(target).slice(0, 1), [target]);
	}
});
