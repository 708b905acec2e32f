/**
Encodes and decodes facts as protobuf messages.
*/
import {create} from '@bufbuild/protobuf';
import {type Fact, type FactValue} from '../../core/peer/types.js';
import {FactSchema, type Fact as WireFact} from './gen/peer_pb.js';

export function encodeFact(fact: Fact): WireFact {
	return create(FactSchema, {
		kind: fact.value.kind,
		key: fact.key,
		origin: fact.origin,
		version: BigInt(fact.version),
		value: JSON.stringify(fact.value),
	});
}

export function decodeFact(fact: WireFact): Fact {
	return {
		key: fact.key,
		origin: fact.origin,
		version: Number(fact.version),
		value: JSON.parse(fact.value) as FactValue,
	};
}
