/** Turns checked calls into admitted requests, or refuses them. */
import { randomUUID } from 'node:crypto'

import { OutcomeKind } from '@bluebellhill/domain'
import type { Millis, RequestId, RequestSpec, Tokens } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import { serviceModel } from '../dispatch/PlainMonitor.js'
import type { PrefixHasher } from '../requests/PrefixHasher.js'
import type { TokenEstimator } from '../requests/TokenEstimator.js'
import type { TimeLine } from '../timeline/index.js'
import { RefusedCall } from './errors.js'
import type { KnownOrganisation, TemplateRules } from './Organisations.js'
import type { CompletionCall } from './types.js'

/** What admission works with. */
export interface AdmissionParts {
  readonly hasher: PrefixHasher
  readonly estimator: TokenEstimator
  readonly timeLine: TimeLine
  /** Tokens in one block of a model's prefix cache. */
  readonly blockTokens: (model: string) => Tokens
  /** Whether the node takes new work. */
  readonly isOpen: () => boolean
}

type Dispatched = Pick<RequestSpec, 'model' | 'version' | 'adapter' | 'promptTokens' | 'maxTokens' | 'prefix'>

/** Admits requests. */
export class Admission {
  readonly #parts: AdmissionParts

  constructor (parts: AdmissionParts) {
    this.#parts = parts
  }

  /**
   * Admits a completion.
   *
   * @param organisation - whose request it is
   * @param call - the checked call
   * @param limit - the caller's own time limit, or null
   * @returns the admitted request
   * @throws RefusedCall where no template fits or the node is stopping
   */
  completion (organisation: KnownOrganisation, call: CompletionCall, limit: Millis | null): RequestSpec {
    const template = completionTemplate(organisation, call.model)
    if (template?.model == null) throw new RefusedCall(OutcomeKind.UnknownModel, `no template for "${call.model}"`)
    const { model } = template
    return this.#admit(organisation, template, limit, {
      model,
      version: template.version,
      adapter: template.adapter,
      promptTokens: this.#parts.estimator.estimate(model, call.promptBytes),
      maxTokens: call.maxTokens ?? template.maxTokens,
      prefix: this.#parts.hasher.blocks(call.prompt, this.#parts.blockTokens(model))
    })
  }

  /**
   * Admits a call to a plain service.
   *
   * @param organisation - whose call it is
   * @param service - the service's name
   * @param limit - the caller's own time limit, or null
   * @returns the admitted request
   * @throws RefusedCall where the organisation has no template for the service or the node is stopping
   */
  service (organisation: KnownOrganisation, service: string, limit: Millis | null): RequestSpec {
    const template = organisation.templates.find((each) => each.service === service)
    if (template === undefined) throw new RefusedCall(OutcomeKind.UnknownRoute, `no template for the service "${service}"`)
    return this.#admit(organisation, template, limit, {
      model: serviceModel(service),
      version: null,
      adapter: null,
      promptTokens: 1,
      maxTokens: 0,
      prefix: []
    })
  }

  #admit (organisation: KnownOrganisation, template: TemplateRules, limit: Millis | null, dispatched: Dispatched): RequestSpec {
    if (!this.#parts.isOpen()) throw new RefusedCall(OutcomeKind.Stopping, 'the node is stopping', STOPPING_RETRY_AFTER_MS)
    const admittedAt = monotonicNow()
    const allowed = Math.min(template.deadline, limit ?? Infinity)
    const spec: RequestSpec = {
      ...dispatched,
      id: `req-${randomUUID()}` as RequestId,
      organisation: organisation.id,
      template: template.name,
      urgency: template.urgency,
      idempotent: template.idempotent,
      admittedAt,
      deadline: admittedAt + allowed
    }
    this.#record(spec, allowed)
    return spec
  }

  #record (spec: RequestSpec, limit: Millis): void {
    this.#parts.timeLine.record(EventKind.RequestAdmitted, { request: spec.id, organisation: spec.organisation }, '', {
      template: spec.template,
      model: spec.model,
      promptTokens: spec.promptTokens,
      maxTokens: spec.maxTokens,
      limit,
      idempotent: spec.idempotent,
      urgency: spec.urgency
    })
  }
}

const STOPPING_RETRY_AFTER_MS = 1_000

/** A template's own name goes before the name of a model. */
const completionTemplate = (organisation: KnownOrganisation, name: string): TemplateRules | undefined => {
  const templates = organisation.templates.filter((template) => template.model !== null)
  return templates.find((template) => template.name === name) ?? templates.find((template) => template.model === name)
}
