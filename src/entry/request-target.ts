/**
The target of a request as routes and targets know it: proxies may send the whole URL, whose
host then takes the place of the header (RFC 9112, section 3.2.2).
*/
import {type IncomingMessage} from 'node:http';

const absoluteForm = /^https?:\/\/(?<authority>[^\/?#@]+)(?<rest>(?:[\/?#].*)?)$/iv;

/** Sets the URL of a request to path and query, and its `Host` to that of an absolute target. */
export function setTarget(request: IncomingMessage, target: string): void {
	const {authority, rest = ''} = absoluteForm.exec(target)?.groups ?? {};
	if (authority === undefined) {
		request.url = target;
		return;
	}

	request.url = rest.startsWith('/') ? rest : `/${rest}`;
	request.headers.host = authority;
	const index = request.rawHeaders.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'host');
	if (index === -1) {
		request.rawHeaders.push('Host', authority);
	} else {
		request.rawHeaders[index + 1] = authority;
	}
}
