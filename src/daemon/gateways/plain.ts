/**
Gateway to a plain service, which receives the caller's request unchanged.
*/
import {HttpGateway, type TargetProtocol} from './http-gateway.js';
import {type Gateway, type GatewayOptions} from './types.js';

const plainProtocol: TargetProtocol = {
	reportPath: '/load',
	orderPath: undefined,
	buildRequest({request}) {
		return {
			method: request.method, path: request.path, headers: request.headers, body: request.body,
		};
	},
};

export function createPlainGateway(options: GatewayOptions): Gateway {
	return new HttpGateway(plainProtocol, options);
}
