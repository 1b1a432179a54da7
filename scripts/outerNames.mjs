// Prints the names that leave the process, one a line, sorted: what clients, back ends, peers, operators and stored data see.
//
//   node scripts/outerNames.mjs > scripts/outer-names.txt
//
// A rename inside the code must not change any of them. They are gathered from the code: schemas, codecs, constant objects,
// log calls, metrics, the command line, the `.proto` files, the result codes and the settings files.
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

import ts from 'typescript'

const tracked = execFileSync('git', ['ls-files'], { encoding: 'utf8' }).split('\n').filter(Boolean)
const names = new Set()
const add = (name) => { if (/[A-Za-z]/.test(name) && name.length > 1 && !/[\s`]/.test(name)) names.add(name) }

/** Files whose object keys and field accesses are fields of messages, answers or stored data. */
const CODECS = /[cC]odec|encoding|[mM]essage\.ts|keyRecord|storedValue|replies|errorBody|timeline\/events|adminRoutes|edge\/response|CompletionShape|[cC]ompletionCall|RecordLeases|LimitCodec|timeline\/kinds|platform\/src\/|GossipSocket|authentication|PeerAuthenticator|CompletionSource|engine\/types|GroupAttempt/
/** Files whose sentences and numbers reach callers. */
const TEXTS = /codes\/resultCodes/

const LOG_CALLS = new Set(['error', 'warn', 'info', 'debug', 'log'])
const SCHEMA_CALLS = new Set(['object', 'strictObject', 'looseObject', 'extend', 'enum', 'literal', 'discriminatedUnion'])
const METRIC_CLASSES = new Set(['Counter', 'Gauge', 'Histogram', 'Summary'])

const keysOf = (node) => {
  if (!ts.isObjectLiteralExpression(node)) return
  for (const property of node.properties) {
    if (property.name !== undefined) add(property.name.text ?? '')
    if (ts.isPropertyAssignment(property)) keysOf(property.initializer)
  }
}

const texts = (node) => {
  if (ts.isStringLiteralLike(node)) add(node.text)
  ts.forEachChild(node, texts)
}

const isConstant = (node) => ts.isAsExpression(node) && node.type.getText() === 'const'

const readSource = (path) => {
  const source = ts.createSourceFile(path, readFileSync(path, 'utf8'), ts.ScriptTarget.Latest, true)
  const isCodec = CODECS.test(path)
  const visit = (node) => {
    if (ts.isImportDeclaration(node) || ts.isExportDeclaration(node)) return
    if (isConstant(node)) texts(node.expression)
    if (ts.isStringLiteralLike(node) && /^(x-|bluebellhill|[A-Z][A-Z0-9]*(_[A-Z0-9]+)+$|\/[a-z]|[a-z]+(-[a-z]+)+$|[a-z]+(\.[a-z_]+)+$)/.test(node.text)) add(node.text)
    if (ts.isTemplateHead(node) && /^[/\w.-]+$/.test(node.text)) add(node.text.replace(/[./:-]$/, ''))
    if (ts.isPropertyAccessExpression(node) && node.expression.getText() === 'process.env') add(node.name.text)
    if (isCodec) {
      if (ts.isObjectLiteralExpression(node)) keysOf(node)
      if (ts.isPropertySignature(node) && path.startsWith('packages/services')) add(node.name.getText())
      if (ts.isStringLiteralLike(node) && /^[\w.-]+$/.test(node.text)) add(node.text)
    }
    if (TEXTS.test(path) && ts.isPropertyAssignment(node) && node.name.getText() === 'sentence') names.add(node.initializer.text)
    if (TEXTS.test(path) && ts.isNumericLiteral(node)) names.add(node.text)
    if (ts.isCallExpression(node) && ts.isPropertyAccessExpression(node.expression)) {
      const called = node.expression.name.text
      if (LOG_CALLS.has(called)) node.arguments.forEach((argument, i) => { if (i === 0 && ts.isStringLiteralLike(argument)) add(argument.text); keysOf(argument) })
      if (SCHEMA_CALLS.has(called)) node.arguments.forEach((argument) => { keysOf(argument); if (called !== 'object') texts(argument) })
    }
    if (ts.isNewExpression(node) && METRIC_CLASSES.has(node.expression.getText().replace(/^.*\./, ''))) node.arguments?.forEach(texts)
    if (ts.isPropertyAssignment(node) && ['labelNames', 'args', 'subCommands', 'positional'].includes(node.name.getText())) { texts(node.initializer); keysOf(node.initializer) }
    if (ts.isVariableDeclaration(node) && /_ARGS$|^COMMANDS$|^ACTIONS$|commonArgs/.test(node.name.getText()) && node.initializer !== undefined) {
      const value = ts.isAsExpression(node.initializer) ? node.initializer.expression : node.initializer
      keysOf(value)
    }
    ts.forEachChild(node, visit)
  }
  visit(source)
}

const isSource = (path) => /\.ts$/.test(path) && /^(packages|platform)\//.test(path) && !/\/(tests|generated|bench|benches)\//.test(path) && !/packages\/soak\//.test(path)
tracked.filter(isSource).forEach(readSource)

for (const path of tracked.filter((name) => name.endsWith('.proto'))) {
  const text = readFileSync(path, 'utf8').replace(/\/\/.*$/gm, '')
  for (const [, name] of text.matchAll(/^\s*(?:message|service|enum|rpc|oneof)\s+(\w+)/gm)) add(name)
  for (const [, name] of text.matchAll(/(\w+)\s*=\s*\d+\s*[;[]/g)) add(name)
}
for (const path of tracked.filter((name) => /^(examples|deploy)\/.*\.(ya?ml|toml)$/.test(name) && !name.startsWith('deploy/days'))) {
  for (const [, name] of readFileSync(path, 'utf8').replace(/#.*$/gm, '').matchAll(/^\s*(?:- )?\[?([A-Za-z][\w.]*)(?:\]|\s*[:=])/gm)) add(name)
}

console.log([...names].sort().join('\n'))
