/**
Gateway to a plain service: the caller's request as it is.
*/
import {HttpGateway, type Protocol} from './http-gateway.js';
import {type Gateway, type GatewayOptions} from './types.js';

const plainProtocol: Protocol = {
	reportPath: '/load',
	orderPath: undefined,
	toSend({work}) {
		return {
			method: work.method, path: work.path, headers: work.headers, body: work.body,
		};
	},
};

export function createPlainGateway(options: GatewayOptions): Gateway {
	return new HttpGateway(plainProtocol, options);
}
