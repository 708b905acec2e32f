/**
Gateway factories by configured kind. A deployment with another kind of target adds an
entry here and its capabilities in `src/core/placement/gateways.ts`.
*/
import {type GatewayKind} from '../../core/configuration/types.js';
import {createEngineGateway} from './engine.js';
import {createPlainGateway} from './plain.js';
import {type Gateway, type GatewayOptions} from './types.js';

export const gatewayFactories: Readonly<Record<GatewayKind, (options: GatewayOptions) => Gateway>> = {
	'engine-fenced': createEngineGateway,
	'engine-unfenced': createEngineGateway,
	plain: createPlainGateway,
};
