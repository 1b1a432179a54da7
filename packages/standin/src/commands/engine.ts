/** `engine`: a stand-in model engine. */
import { defineCommand } from 'citty'

import { DEFAULT_ENGINE_OPTIONS as DEFAULTS } from '../engine/constants.js'
import { createEngine } from '../engine/createEngine.js'
import { DisconnectRule, Role } from '../engine/types.js'
import { commonArgs, numberArg, numberOf, runUntilStopped, choiceOf } from './arguments.js'

export const engineCommand = defineCommand({
  meta: { name: 'engine', description: 'A stand-in model engine' },
  args: {
    ...commonArgs,
    model: { type: 'string', description: 'Model served at the start' },
    version: { type: 'string', description: 'Its version' },
    adapters: { type: 'string', description: 'Adapters, separated by commas', default: '' },
    role: { type: 'string', description: 'mixed, prefill, decode or idle', default: DEFAULTS.role },
    'memory-tokens': numberArg('Accelerator memory, in tokens', DEFAULTS.memoryTokens),
    'host-tokens': numberArg('Room for imported segments, in tokens', DEFAULTS.hostTokens),
    slots: numberArg('Sequences in one batch', DEFAULTS.slots),
    'block-tokens': numberArg('Tokens in a block', DEFAULTS.blockTokens),
    'chunk-tokens': numberArg('New tokens in a step', DEFAULTS.chunkTokens),
    'max-waiting': numberArg('Sequences that may wait', DEFAULTS.maxWaiting),
    'step-ms': numberArg('Fixed part of a step, in ms', DEFAULTS.stepMs),
    'new-token-ms': numberArg('Time of each new token, in ms', DEFAULTS.newTokenMs),
    'context-token-ms': numberArg('Time of each context token, in ms', DEFAULTS.contextTokenMs),
    'resume-window-ms': numberArg('Time that a finished answer waits to be resumed, in ms', DEFAULTS.resumeWindowMs),
    'load-lag-ms': numberArg('Age of the reported load, in ms', DEFAULTS.loadLagMs),
    'event-lag-ms': numberArg('Age of published cache events, in ms', DEFAULTS.eventLagMs),
    'event-drop-rate': numberArg('Share of cache events lost', DEFAULTS.eventDropRate),
    seed: numberArg('Seed of the lost events', DEFAULTS.seed),
    'check-fencing': { type: 'boolean', description: 'Refuse orders with an older number', default: DEFAULTS.checkFencing },
    'load-ms': numberArg('Time to load a model without a weight store, in ms', DEFAULTS.loadMs),
    'weight-store': { type: 'string', description: 'ip:port of the weight store' },
    'transfer-tokens-per-second': numberArg('Rate of segment transfers', DEFAULTS.transferTokensPerSecond),
    'on-disconnect': { type: 'string', description: 'finish, hold or cancel', default: DEFAULTS.onDisconnect }
  },
  run: async ({ args }) => {
    const engine = createEngine({
      name: args.name,
      model: args.model ?? null,
      version: args.version ?? null,
      adapters: args.adapters.split(',').filter((adapter) => adapter !== ''),
      role: choiceOf(Role, args.role),
      memoryTokens: numberOf(args['memory-tokens']),
      hostTokens: numberOf(args['host-tokens']),
      slots: numberOf(args.slots),
      blockTokens: numberOf(args['block-tokens']),
      chunkTokens: numberOf(args['chunk-tokens']),
      maxWaiting: numberOf(args['max-waiting']),
      stepMs: numberOf(args['step-ms']),
      newTokenMs: numberOf(args['new-token-ms']),
      contextTokenMs: numberOf(args['context-token-ms']),
      resumeWindowMs: numberOf(args['resume-window-ms']),
      loadLagMs: numberOf(args['load-lag-ms']),
      eventLagMs: numberOf(args['event-lag-ms']),
      eventDropRate: numberOf(args['event-drop-rate']),
      seed: numberOf(args.seed),
      checkFencing: args['check-fencing'],
      loadMs: numberOf(args['load-ms']),
      weightStore: args['weight-store'] ?? null,
      transferTokensPerSecond: numberOf(args['transfer-tokens-per-second']),
      onDisconnect: choiceOf(DisconnectRule, args['on-disconnect'])
    }, args.listen)
    await runUntilStopped(engine.server, engine, args['exit-with-parent'])
  }
})
