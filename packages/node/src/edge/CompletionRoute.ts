/** `POST /v1/completions` and `POST /v1/chat/completions`. */
import type { IncomingMessage } from 'node:http'

import type { RequestSpec } from '@bluebellhill/domain'

import type { CompletionSourceFactory } from '../requests/CompletionSource.js'
import type { Admission, AdmittedCompletion } from './Admission.js'
import type { AdmittedRunner } from './AdmittedRunner.js'
import { readBody } from './body.js'
import type { BodyLimits } from './body.js'
import { StreamedCompletion, WholeCompletion } from './CompletionAnswer.js'
import { parseCompletionCall } from './completionCall.js'
import { shapeOf } from './CompletionShape.js'
import { readDeadline } from './headers.js'
import type { KnownOrganisation } from './Organisations.js'
import { RecordingCompletion } from './RecordingCompletion.js'
import { OrganisationRoute } from './Route.js'
import type { EdgeCall } from './Route.js'
import { CallForm } from './types.js'
import type { CompletionCall } from './types.js'

const MS_PER_SECOND = 1_000

const PATHS: Readonly<Record<string, CallForm>> = {
  '/v1/completions': CallForm.Text,
  '/v1/chat/completions': CallForm.Chat
}

/** What the completion routes work with. */
export interface CompletionRouteParts {
  readonly admission: Admission
  readonly runner: AdmittedRunner
  readonly sources: CompletionSourceFactory
  readonly limits: BodyLimits
}

/** Answers completions. */
export class CompletionRoute extends OrganisationRoute {
  readonly #parts: CompletionRouteParts

  constructor (recognise: (request: IncomingMessage) => KnownOrganisation, parts: CompletionRouteParts) {
    super(recognise)
    this.#parts = parts
  }

  matches (method: string, path: string): boolean {
    return method === 'POST' && path in PATHS
  }

  protected async handleFor (organisation: KnownOrganisation, call: EdgeCall): Promise<void> {
    const { admission, limits } = this.#parts
    const deadline = readDeadline(call.request.headers)
    const body = await readBody(call.request, limits)
    const completion = parseCompletionCall(PATHS[call.path] ?? CallForm.Text, body)
    const admitted = admission.completion(organisation, completion, deadline)
    await this.#run(admitted, completion, call, body)
  }

  async #run ({ spec, limited, prompt }: AdmittedCompletion, completion: CompletionCall, call: EdgeCall, identity: Buffer): Promise<void> {
    call.response.setHeader('x-request-id', spec.id)
    const answer = new RecordingCompletion(answerFor(spec, completion, call))
    const source = this.#parts.sources.create(spec, prompt, completion.sampling)
    await this.#parts.runner.run({ spec, limited, call, answer, source, identity })
  }
}

const answerFor = (spec: RequestSpec, completion: CompletionCall, { response }: EdgeCall): StreamedCompletion | WholeCompletion => {
  const head = { id: spec.id, model: completion.model, created: Math.floor(Date.now() / MS_PER_SECOND) }
  const shape = shapeOf(completion.form)
  if (completion.streamed) return new StreamedCompletion(response, head, shape, completion.usageWanted)
  return new WholeCompletion(response, head, shape)
}
