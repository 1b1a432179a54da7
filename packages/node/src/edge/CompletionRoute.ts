/** Route of the OpenAI completions: `POST /v1/completions` and `POST /v1/chat/completions`. */
import type { IncomingMessage } from 'node:http'

import type { RequestSpec } from '@bluebellhill/domain'

import type { CompletionSourceFactory } from '../requests/CompletionSource.js'
import type { Admission, AdmittedCompletion } from './Admission.js'
import type { AdmittedRequestExecutor } from './AdmittedRequestExecutor.js'
import { readBody } from './readBody.js'
import type { BodyLimits } from './readBody.js'
import { StreamedCompletion, BufferedCompletion } from './CompletionAnswer.js'
import { parseCompletionCall } from './parseCompletionCall.js'
import { completionShapeOf } from './CompletionShape.js'
import { readTimeLimit } from './headers.js'
import type { AuthenticatedCaller } from './OrganisationDirectory.js'
import { RecordingCompletion } from './RecordingCompletion.js'
import { AuthenticatedRoute } from './Route.js'
import type { EdgeCall } from './Route.js'
import { CallForm } from './types.js'
import type { CompletionCall } from './types.js'

const MS_PER_SECOND = 1_000

const FORM_BY_PATH: Readonly<Record<string, CallForm>> = {
  '/v1/completions': CallForm.Text,
  '/v1/chat/completions': CallForm.Chat
}

/** Collaborators and limits of {@link CompletionRoute}. */
export interface CompletionRouteDependencies {
  readonly admission: Admission
  readonly executor: AdmittedRequestExecutor
  readonly sources: CompletionSourceFactory
  readonly limits: BodyLimits
}

/** Validates, admits and runs completions. */
export class CompletionRoute extends AuthenticatedRoute {
  readonly #dependencies: CompletionRouteDependencies

  constructor (authenticate: (request: IncomingMessage) => AuthenticatedCaller, dependencies: CompletionRouteDependencies) {
    super(authenticate)
    this.#dependencies = dependencies
  }

  matches (method: string, path: string): boolean {
    return method === 'POST' && path in FORM_BY_PATH
  }

  protected async handleFor (caller: AuthenticatedCaller, call: EdgeCall): Promise<void> {
    const { admission, limits } = this.#dependencies
    const timeLimit = readTimeLimit(call.request.headers)
    const body = await readBody(call.request, limits)
    const completion = parseCompletionCall(FORM_BY_PATH[call.path] ?? CallForm.Text, body)
    const admitted = admission.admitCompletion(caller, completion, timeLimit)
    await this.#run(admitted, completion, call, body)
  }

  async #run ({ spec, limitedRequest, prompt }: AdmittedCompletion, completion: CompletionCall, call: EdgeCall, identity: Buffer): Promise<void> {
    call.response.setHeader('x-request-id', spec.id)
    const answer = new RecordingCompletion(createAnswer(spec, completion, call))
    const source = this.#dependencies.sources.create(spec, prompt, completion.sampling)
    await this.#dependencies.executor.run({ spec, limitedRequest, call, answer, source, identity })
  }
}

const createAnswer = (spec: RequestSpec, completion: CompletionCall, { response }: EdgeCall): StreamedCompletion | BufferedCompletion => {
  const metadata = { id: spec.id, model: completion.model, created: Math.floor(Date.now() / MS_PER_SECOND) }
  const shape = completionShapeOf(completion.form)
  if (completion.streamed) return new StreamedCompletion(response, metadata, shape, completion.usageWanted)
  return new BufferedCompletion(response, metadata, shape)
}
