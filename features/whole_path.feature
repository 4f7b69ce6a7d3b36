Feature: The whole path
  A request walks the stages of its route under one deadline.

  Scenario Outline: Every account gets whole answers on all its routes
    Given the deployment "<deployment>" is running
    When every account asks for each of its routes
    Then every answer is whole and belongs to its request

    Examples:
      | deployment |
      | swanreach  |
      | bandiera   |

  Scenario: A non-repeatable stage runs once for each request
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" 5 times
    Then every answer is whole and belongs to its request
    And service "credits" executed 5 operations

  Scenario: A target that takes no connection costs no request
    Given the deployment "swanreach" is running
    And target "encoders-1" is down
    When account "reseller-metro" asks for route "reseller-query" 8 times
    Then every answer is whole and belongs to its request

  Scenario: A streamed answer has the tokens of the whole answer
    Given the deployment "swanreach" is running
    When account "reseller-metro" asks for route "reseller-query" as a stream
    Then the streamed tokens are the words of "reply"
