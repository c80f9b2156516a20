#pragma once

#include "core/base/requestkey.h"
#include "net/httpmessage.h"

#include <memory>
#include <unordered_map>

namespace wisteriafork {

// Answers kept for resends of their requests. The core decides what is kept and dropped. Used only while actions are carried out, which
// never happens on two threads at once.
class StoredAnswers
{
public:
    void store(const RequestKey &key, std::shared_ptr<const HttpResponse> answer)
    {
        m_answers.insert_or_assign(key, std::move(answer));
    }

    void drop(const RequestKey &key)
    {
        m_answers.erase(key);
    }

    std::shared_ptr<const HttpResponse> find(const RequestKey &key) const
    {
        const auto found = m_answers.find(key);
        return found == m_answers.end() ? nullptr : found->second;
    }

private:
    std::unordered_map<RequestKey, std::shared_ptr<const HttpResponse>> m_answers;
};

} // namespace wisteriafork
