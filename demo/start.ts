/**
`npm start`: the whole deployment until it is interrupted.
*/
import process from 'node:process';
import {formatResultCode} from '../src/daemon/problem.js';
import {PortInUseError} from '../src/daemon/listeners/listener.js';
import {LocalDeployment} from '../test/standins/local-deployment.js';
import {modelName, petrovDeployment} from './petrov.js';

const CALLER_PORT = 8080;
const OPERATOR_PORT = 8090;
const EXIT_PORT = 3;

try {
	const deployment = await LocalDeployment.start({...petrovDeployment, callerPort: CALLER_PORT, operatorPort: OPERATOR_PORT});
	process.on('SIGINT', () => {
		void deployment.close();
	});
	process.on('SIGTERM', () => {
		void deployment.close();
	});
	process.stdout.write(`callers    http://127.0.0.1:${CALLER_PORT}\noperators  http://127.0.0.1:${OPERATOR_PORT}\nloading models ...\n`);
	await deployment.waitUntilReachable();
	process.stdout.write(`all models are reachable; try:\n  curl -N http://127.0.0.1:${CALLER_PORT}/v1/chat/completions -d '{"model":"${modelName(0)}","stream":true,"messages":[{"role":"user","content":"compaction at trench 12?"}]}'\n`);
} catch (error) {
	const isPort = error instanceof PortInUseError;
	process.stderr.write(`${isPort ? `${formatResultCode('port-in-use')} ` : ''}${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = isPort ? EXIT_PORT : 1;
}
