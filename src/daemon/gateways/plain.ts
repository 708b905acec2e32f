/**
Gateway to a plain service: the caller's request as it is.
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
